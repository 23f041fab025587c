// Package remote is a client of the administration API of an entry node.
package remote
