// Package change computes the edits that turn the accepted settings into those of a file.
package change
