// Package drain decides which requests a stopping node may still begin, by how long answers to such requests
// lately took.
//
// The package does no I/O and reads no clock.
package drain
