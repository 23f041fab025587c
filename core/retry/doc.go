// Package retry decides whether and when a request is sent again after a failed attempt.
//
// Retries are limited to a share of all requests, by a Window or a Budget, so that they cannot
// multiply the load of an overloaded system. A Window counts only retries after attempts of which
// some part was sent; a Budget is also charged for retries after attempts that were never sent.
// The package does no I/O and reads no clock.
package retry
