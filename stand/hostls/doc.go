// Package hostls simulates the platform's host list, with live and leaving hosts, which shows
// changes with a lag.
package hostls
