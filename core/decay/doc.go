// Package decay counts what happens so that the weight of the past halves at intervals.
package decay
