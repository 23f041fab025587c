// Package poison decides whether a request that was running when an engine crashed may run
// again.
//
// Each request that was in flight at a crash is put in quarantine. It may run once more, on
// its own, which is called a probe. A second crash blocks the request. The Table is built
// from the records of a log stream, so that all entry nodes reach the same verdict. The
// package does no I/O and reads no clock.
package poison
