// Package crash shares among the entry nodes which requests were in flight when an engine crashed.
package crash
