// Package relay carries a request to a backend server and its answer back, over
// as many attempts as the rules for retries allow.
package relay
