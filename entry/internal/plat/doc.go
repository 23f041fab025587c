// Package plat has the clients of the platform's append-only log and of its host list.
package plat
