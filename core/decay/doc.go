// Package decay counts events with exponentially decaying weights.
package decay
