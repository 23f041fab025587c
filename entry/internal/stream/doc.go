// Package stream follows one stream of the platform's log, folds its records and
// appends to it in groups.
package stream
