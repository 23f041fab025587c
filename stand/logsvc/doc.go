// Package logsvc simulates the platform's append-only log service. It has streams with
// offsets, a limit on the rate of appends, limited retention and simulated outages.
package logsvc
