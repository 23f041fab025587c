// Package proofs contains the tests that run the programs together: as separate
// processes on the loopback interface, and in one process with virtual time and injected faults.
package proofs
