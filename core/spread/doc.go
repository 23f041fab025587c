// Package spread chooses the backend server for a request that the entry node sends itself.
//
// The cost of a candidate is in weighted seconds. It adds up the expected time to the first byte
// and penalties. The time to the first byte depends on the load of the server, for an engine also
// on the adapter to load, the prompts to prefill and the free memory; the part of it that makes the
// first byte late weighs more. Penalties are for crossing zones or regions, evictions and extra
// fetches from the weight store, pauses of running streams, an unavailable agent, failures that
// this node has seen and a server that has failed the same request.
//
// The agent of each engine reports the engine's load and adapters, and grants the requests that
// may be sent to it. The package does no I/O and reads no clock.
package spread
