// Package peers requests the settings and the status of the other entry nodes.
package peers
