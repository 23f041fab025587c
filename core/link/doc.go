// Package link carries frames between an entry node and an agent over one
// WebSocket connection. Both sides send heartbeats, and a side that receives
// nothing for MaxSilence closes the connection.
package link
