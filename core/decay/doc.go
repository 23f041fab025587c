// Package decay counts events with a weight that halves after each half-life.
package decay
