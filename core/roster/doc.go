// Package roster keeps an entry node's view of the backend servers. The view is built from
// the records that the servers write about themselves to the platform's log.
//
// A server whose record is found to be gone before an outage of the log has been over for
// MaxRewriteDelay is kept until then: a server that is alive writes its record again in that
// time.
package roster
