// Package claims claims keys in the log and tells who holds them.
package claims
