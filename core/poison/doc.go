// Package poison decides whether a request that was running when an engine crashed may run
// again.
//
// The fingerprint of each request that was in flight at a crash is put in quarantine. One
// request with that fingerprint may then run, on its own, which is called a probe. A second
// crash blocks the fingerprint. Retention after its last crash, a fingerprint is deleted. The
// Table is built from the records of a log stream, so that all entry nodes reach the same
// verdict.
//
// Suspects gives a verdict without the log, for entry nodes that see crashes themselves and tell
// each other: a fingerprint that was in flight at SuspectCrashes crashes, with no answer between
// them, is refused until Retention after the last one.
//
// Parts gives a verdict on parts of prompts that many requests share, from crashes and answers: evidence.go
// says what speaks against a part, blocked.go when requests with a refused part are let through, answers.go
// remembers answers.
//
// The package does no I/O and reads no clock.
package poison
