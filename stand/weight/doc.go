// Package weight stands in for the rate-limited weight store.
package weight
