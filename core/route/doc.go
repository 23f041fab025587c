// Package route chooses the backend server for a request.
//
// The cost of a candidate is a sum of seconds: waiting for a load, queueing and
// crossing a region, less the gain of filling a batch. The team's weights scale
// each term. The package is pure.
package route
