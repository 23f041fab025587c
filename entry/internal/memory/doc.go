// Package memory bounds what an entry node holds in memory for its callers: bodies of requests, answers
// before they are delivered, and buffers of streams. It refuses bodies that do not fit before it reads them.
package memory
