// Package caller serves the HTTP API for callers: the completions API of model engines and
// calls to plain services.
package caller
