// Package config follows the settings stream, holds the accepted settings and
// proposes changes.
//
// A node takes a snapshot and the records after it. While the log is away it takes
// the settings of the peer that is furthest ahead. It never goes back to an earlier
// offset.
package config
