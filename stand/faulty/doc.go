// Package faulty makes a simulated backend server send answers that are endless, broken off, without
// a length or no HTTP at all.
package faulty
