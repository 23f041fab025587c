// Package plain stands in for a plain service, a ledger that keeps each release it was sent.
package plain
