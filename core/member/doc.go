// Package member decides which hosts an entry node connects to.
//
// The platform's host list lags behind. So a working connection is kept after its host has
// left the list, and a host may announce its shutdown before Leaving reports it. The package does
// no I/O and reads no clock.
package member
