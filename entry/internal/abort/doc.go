// Package abort breaks answers off in a way that their callers see.
package abort
