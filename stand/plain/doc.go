// Package plain simulates a backend server that is no engine: a ledger that records each release sent
// to it.
package plain
