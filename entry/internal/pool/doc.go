// Package pool keeps HTTP/1.1 connections to backend servers and carries one exchange
// at a time on each. It never sends a request twice, adds no header except Host and
// Content-Length and follows no redirect. The caller decides what happens after a failure.
package pool
