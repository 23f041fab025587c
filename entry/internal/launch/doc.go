// Package launch starts an entry node: it parses the command line, reads the settings file and
// serves until it is stopped.
package launch
