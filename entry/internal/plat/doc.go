// Package plat talks to the platform: its append-only log and its list of hosts.
package plat
