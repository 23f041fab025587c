// Package proc holds what the programs need to run as a process: the command line flags
// of servers, access to the network, signal handling, exit codes and reading the settings
// file.
package proc
