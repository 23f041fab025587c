// Package node builds an entry node out of its parts.
package node
