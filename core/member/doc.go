// Package member decides which hosts an entry node connects to.
//
// The platform's list of hosts lags behind. So a working connection is kept after its host has
// left the list, and a host that announces its shutdown is treated as leaving before the list
// shows it. The package does no I/O and reads no clock.
package member
