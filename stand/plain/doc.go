// Package plain simulates a plain service: a ledger that records each call.
package plain
