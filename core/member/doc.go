// Package member decides which hosts an entry node connects to.
//
// The platform's list lags: a connection that works outlives its entry in the
// list, and a host that says it leaves is believed before the list says so. The
// package is pure.
package member
