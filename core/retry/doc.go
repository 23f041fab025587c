// Package retry decides whether and when a request that did not run is sent again.
//
// Retries draw on a budget that is a share of all requests, so that they cannot
// multiply an overload. The package is pure.
package retry
