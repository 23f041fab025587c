// Package node builds an agent out of its parts.
package node
