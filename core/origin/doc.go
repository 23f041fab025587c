// Package origin keeps which software version of a backend server began each stream, and decides at
// which one a stream may go on: what two versions write does not fit together.
//
// The version that counts is that of the server whose event reached the caller first. While servers of
// several versions serve, entry nodes put a record of each stream to a few agents, its homes, which follow
// from the ID of the request that brought its first event. Whoever takes the stream up asks them.
package origin
