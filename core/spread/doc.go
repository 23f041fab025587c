// Package spread chooses the backend server for a request that the entry node sends
// itself.
//
// The cost of a candidate is the expected time to the first byte in seconds: an
// adapter's load, the prompts before it, the request's own prompt, the way to another
// region, and the node's own experience of the backend server. The package is pure.
package spread
