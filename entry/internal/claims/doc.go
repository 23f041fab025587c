// Package claims appends claims on idempotency keys to the platform's log and reads the claim
// streams back, which decide which claim holds a key.
package claims
