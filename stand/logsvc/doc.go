// Package logsvc simulates an append-only log service with the HTTP interface that entry/internal/plat
// calls, not that of platform/terms. It has streams with offsets, a limit on the rate of appends,
// limited retention and simulated outages.
package logsvc
