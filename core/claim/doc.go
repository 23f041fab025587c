// Package claim decides whether a call that must not be repeated may run.
//
// The table is a fold of a claim stream: the first claim for a key in the order
// of the log wins. The package is pure and reads time off the log's records only.
package claim
