// Package poison decides whether a request that was running when an engine crashed
// may run again.
//
// Each request in flight at a crash is put in quarantine. It runs once more, apart
// from all others; a second crash blocks its fingerprint. The table is a fold of
// a log stream, so that every entry node comes to the same verdict. The package
// is pure.
package poison
