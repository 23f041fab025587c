// Package paths finds the route of a request by host and path. A Table is one
// accepted version of the routes and services; it is never changed once built.
package paths
