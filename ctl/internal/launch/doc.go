// Package launch parses the command line of ctl and runs the chosen command.
package launch
