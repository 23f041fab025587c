// Package engine simulates a model engine. It has a limited number of adapter slots, a
// continuous batch with request priorities, a prefix cache whose events are late and
// incomplete, load reports that lag, answers that can be resumed or canceled, export and
// import of KV blocks, load and unload orders with or without a fencing check, crashes and
// cold starts. Its HTTP interface has the paths that agent/internal/client calls, not those of
// platform/terms.
//
// The engine doesn't protect requests from its agent: unloading a handle that is in use
// aborts the requests on it. The engine counts them, so that tests detect the agent's fault.
package engine
