// Package server accepts the connections of entry nodes and serves health and metrics.
package server
