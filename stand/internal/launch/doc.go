// Package launch parses the command line of the stand-ins and serves the one named.
package launch
