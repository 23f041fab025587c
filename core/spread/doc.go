// Package spread chooses the backend server for a request that the entry node sends itself.
//
// The cost of a candidate is in weighted seconds. It adds up the expected time to the first byte
// (loading the adapter, prefilling the queued prompts and the request's own prompt), of which the
// part that makes the first byte late weighs more, and penalties for crossing zones or regions,
// for evictions and fetches from the weight store, and for failures that this node has seen.
//
// The agent of each engine reports the engine's load and adapters, and grants the requests that
// may be sent to it. The package does no I/O and reads no clock.
package spread
