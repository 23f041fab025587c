// Package launch parses the command line of the stand program and serves the simulated system that
// it names.
package launch
