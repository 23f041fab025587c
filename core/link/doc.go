// Package link carries frames between an entry node and an agent over one
// WebSocket connection, with heartbeats both ways. A connection on which nothing
// arrives for SilenceMax is closed.
package link
