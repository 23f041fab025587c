// Package pool keeps HTTP/1.1 connections to backend servers and carries one exchange
// at a time on each. It never sends a request twice, adds no header and follows no
// redirect; what becomes of a request that failed is the caller's decision.
package pool
