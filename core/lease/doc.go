// Package lease hands out the requests that a server with a limit takes from all entry nodes together.
//
// One agent keeps a Bucket for each such server, and entry nodes ask it for leases: the right to send
// a number of requests at once. The package does no I/O and reads no clock.
package lease
