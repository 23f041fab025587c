// Package roster keeps an entry node's view of the backend servers. The view is built from
// the records that the servers write about themselves to the platform's log.
//
// A server whose record disappears while the log cannot be read is kept at first: a server
// that is still alive writes its record again within MaxRewriteDelay of the log's return.
package roster
