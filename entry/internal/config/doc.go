// Package config reads the settings stream, provides the accepted settings and proposes changes.
//
// A node loads a snapshot and applies the records after it. While the log is unavailable it
// loads the settings of the peer that has applied the most records. It never replaces its settings
// with ones that have fewer records applied.
package config
