// Package paths finds the route of a request by its host and path. A Table is one accepted
// version of the routes and services and is not changed once it is built.
package paths
