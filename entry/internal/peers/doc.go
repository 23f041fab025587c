// Package peers asks the other entry nodes for their settings and state.
package peers
