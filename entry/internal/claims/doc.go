// Package claims appends claims to the log in groups and follows the claim streams.
package claims
