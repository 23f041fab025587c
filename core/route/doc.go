// Package route chooses the backend server for a request that is dispatched through an agent.
//
// The cost of a candidate is a sum of seconds: waiting for an adapter to load, queueing, crossing
// regions and leaving places of a batch empty, each scaled by a weight of the caller's team, and
// an unweighted term for runners that have just connected. The package does no I/O and reads no
// clock.
package route
