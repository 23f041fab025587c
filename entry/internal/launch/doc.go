// Package launch parses the command line, reads the settings file and serves.
package launch
