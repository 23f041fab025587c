// Package proc holds what all programs need to run as a process: command line flags,
// access to the network, signal handling, exit codes and reading the settings file.
package proc
