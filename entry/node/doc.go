// Package node assembles an entry node from its components.
package node
