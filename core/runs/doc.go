// Package runs records the attempts that an agent receives and decides whether one may run.
//
// An attempt runs at most once. It is accepted once, and refused if it is addressed to
// another boot of the agent (an earlier or later start of its process), if it was voided, or
// if its claim is so old that the table may already have forgotten that it was voided. The
// package does no I/O and reads no clock.
package runs
