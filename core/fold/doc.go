// Package fold computes the accepted settings from the records of the settings
// stream. It is pure: the same records give the same state on every node.
package fold
