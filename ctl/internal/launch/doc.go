// Package launch parses the command line of the operators' tool and runs the command.
package launch
