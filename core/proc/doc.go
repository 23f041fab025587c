// Package proc holds what the programs share at their edges: the command line, the
// real network, signals, exit codes and reading of settings files.
package proc
