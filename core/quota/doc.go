// Package quota decides how entry nodes share the quota of an organisation.
//
// One agent, the keeper, holds an Account for each organisation and gives out units of its quota. Each entry node has
// a Holder for each organisation, which admits and refuses requests by the units that it got, and by the node's share
// of the quota while the keeper does not answer. The load that this addresses: one organisation sends several times
// what it may, through a few entry nodes that change from second to second, while nodes and agents fail.
//
// The package does no I/O and reads no clock.
package quota
