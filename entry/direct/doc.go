// Package direct implements an entry node that forwards requests straight to the backend
// servers.
//
// The node learns routes, adapter versions and backend servers from the platform's log. Before
// it sends a request to a model engine, it asks the agent beside the engine for a grant. The
// interfaces in ports.go hide the wire formats of callers and backend servers and the access
// to the log.
//
// What the node knows comes from four sides:
//
//	log      follower, one for each topic: reads records, its own or forwarded ones
//	zone     feeds: the source is the node that reads the log for this one, subscribers are those
//	         that this one reads for
//	agents   agents: grants, loads of engines, crash reports, leases for servers with limits
//	answers  crashes and demands: servers that crashed, leave, ask for a pause or name a limit
//
// What began a stream (origins) comes from the node's own answers and, for streams that others began, from
// the agents that keep its record (homes.go).
//
// All of it ends in the fleet (core/spread), which chooses the server of each attempt.
package direct
