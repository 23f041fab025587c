// Package remote calls the administration API of an entry node.
package remote
