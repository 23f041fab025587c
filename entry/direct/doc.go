// Package direct implements an entry node that forwards requests straight to the backend
// servers.
//
// The node learns routes, adapter versions and backend servers from the platform's log. Before
// it sends a request to a model engine, it asks the agent beside the engine for a grant. The
// interfaces in ports.go hide the wire formats of callers and backend servers and the access
// to the log.
package direct
