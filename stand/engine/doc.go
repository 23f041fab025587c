// Package engine stands in for a model engine: few adapter slots, a continuous
// batch with priorities, a prefix cache whose events come late and with gaps,
// lagging load reports, streams that resume and cancel, KV export and import,
// orders with or without fencing numbers, crashes and cold starts.
//
// It protects nothing: an unload of a handle in use breaks the requests on it and
// is counted, so that a mistake of its agent shows.
package engine
