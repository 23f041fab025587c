// Package server is the agent's HTTP server: it accepts the connections of entry nodes and serves the
// health check and the metrics.
package server
