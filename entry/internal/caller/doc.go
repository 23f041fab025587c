// Package caller serves the callers: the completions API of model engines and the
// calls of plain services.
package caller
