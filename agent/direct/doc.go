// Package direct runs an agent whose engine receives requests from the entry nodes
// themselves. The agent alone gives the engine orders; it grants requests, pins their
// adapters and tells entry nodes what the engine holds.
package direct
