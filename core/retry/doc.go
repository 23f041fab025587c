// Package retry decides whether and when a request is sent again after a failed attempt.
//
// Retries are limited to a share of all requests, so that they cannot multiply the load of
// an overloaded system. The package does no I/O and reads no clock.
package retry
