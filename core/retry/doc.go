// Package retry decides whether and when a request is sent again after a failed attempt.
//
// Retries of requests of which any part was sent are limited to a share of all requests, by a
// Budget or a Window, so that they cannot multiply the load of an overloaded system. The
// package does no I/O and reads no clock.
package retry
