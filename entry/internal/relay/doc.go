// Package relay forwards requests to backend servers through their agents and delivers the
// answers. It retries failed attempts within the limits of package retry.
package relay
