// Package hostls simulates the platform's list of live and leaving hosts, which shows changes
// with a lag.
package hostls
