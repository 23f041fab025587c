// Package hostls stands in for the platform's list of live and leaving hosts,
// which lags behind reality.
package hostls
