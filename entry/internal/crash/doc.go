// Package crash shares among the entry nodes which requests were in flight when an engine crashed,
// and which attempt may probe such a request in quarantine.
package crash
