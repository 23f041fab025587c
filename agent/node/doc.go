// Package node assembles an agent that forwards requests to its backend server, and starts and stops
// it.
package node
