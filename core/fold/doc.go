// Package fold computes the accepted settings by applying the records of the settings stream
// in order. It does no I/O and reads no clock, so that every node that applies the same
// records has the same state.
package fold
