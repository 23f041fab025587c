// Package logsvc stands in for the platform's append-only log service: streams
// with offsets, a limit on appends, limited retention and outages.
package logsvc
