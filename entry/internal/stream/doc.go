// Package stream reads one stream of the platform's log, applies its records to a state
// in memory and appends records to it in groups.
package stream
