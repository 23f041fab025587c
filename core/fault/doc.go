// Package fault holds the typed errors that callers and operators see.
//
// Each error names its kind, what happened and the remedy, and tells which of
// three outcomes the request had: answered, not run, or unknown.
package fault
