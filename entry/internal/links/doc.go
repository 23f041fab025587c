// Package links keeps the connections to agents, the view of the fleet and the
// attempts under way.
package links
