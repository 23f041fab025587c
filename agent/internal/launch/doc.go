// Package launch parses the command line, reads the settings file and runs the agent until it is
// stopped.
package launch
