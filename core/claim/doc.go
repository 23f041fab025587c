// Package claim decides whether a call that must not be repeated may run.
//
// A Table is built from the records of one claim stream, in the order of the log: the first
// claim for an idempotency key wins. All nodes that read the stream come to the same result,
// since the package does no I/O and takes the time only from the log's records.
package claim
