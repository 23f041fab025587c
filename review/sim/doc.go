// Package sim holds the stand-ins of the review's scripts: the platform's store, backend servers and
// callers, and what starts the project's own programs beside them with the commands and the
// templates of the deploy file. Everything listens on loopback addresses.
package sim
