// Package change works out the edits that turn the accepted settings into those of a file.
package change
