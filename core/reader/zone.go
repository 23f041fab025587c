package reader

import (
	"strings"
	"time"
)

// avoidTime is how long a node that forwards nothing, or cannot read the log, is not chosen to
// read for its availability zone. It doubles with each further failure up to avoidTimeMax.
const (
	avoidTime    = 3 * time.Second
	avoidTimeMax = 24 * time.Second
)

// Peer is an entry node of the same availability zone.
type Peer struct {
	Name string
	// Address is where other entry nodes reach it.
	Address string
}

// Zone is an entry node's view of the entry nodes of its availability zone; its zero value knows
// none.
type Zone struct {
	// listings holds the entry nodes that each agent reports as connected, by the agent's host.
	listings map[string][]Peer
	// failed holds the nodes that failed, by address.
	failed map[string]failure
}

// failure says how often in a row a node has failed and when it may be chosen again.
type failure struct {
	count int
	until time.Time
}

// ApplyListing replaces the entry nodes that an agent reports as connected.
func (zo *Zone) ApplyListing(agent string, peers []Peer) {
	if zo.listings == nil {
		zo.listings = map[string][]Peer{}
	}
	zo.listings[agent] = peers
}

// RemoveListing forgets what an agent reported, after the connection to it was lost.
func (zo *Zone) RemoveListing(agent string) { delete(zo.listings, agent) }

// Avoid excludes a node from being chosen for a while. While self is excluded itself, the log may
// be down for all, so another node's failures are not counted.
func (zo *Zone) Avoid(self Peer, address string, now time.Time) {
	if zo.failed == nil {
		zo.failed = map[string]failure{}
	}
	fa := zo.failed[address]
	if zo.Avoided(address, now) {
		return
	}
	fa.until = now.Add(min(avoidTimeMax, avoidTime<<min(fa.count, 3)))
	if address == self.Address || zo.eligible(self, now) {
		fa.count++
	}
	zo.failed[address] = fa
}

// Avoided reports whether a node is excluded from being chosen.
func (zo *Zone) Avoided(address string, now time.Time) bool {
	return now.Before(zo.failed[address].until)
}

// Confirm records that a node has read the log, which makes up for its failures.
func (zo *Zone) Confirm(address string) { delete(zo.failed, address) }

// Source returns the node whose reads are forwarded to self, or false if self must read the log.
// All nodes choose the one with the lowest name, so nodes that know the same peers agree.
func (zo *Zone) Source(self Peer, now time.Time) (Peer, bool) {
	best, found := self, zo.eligible(self, now)
	for _, peers := range zo.listings {
		for _, pe := range peers {
			if zo.eligible(pe, now) && (!found || pe.before(best)) {
				best, found = pe, true
			}
		}
	}
	return best, found && best.Address != self.Address
}

// eligible reports whether a node can be reached and is not avoided.
func (zo *Zone) eligible(pe Peer, now time.Time) bool {
	return pe.Address != "" && !zo.Avoided(pe.Address, now)
}

// before orders peers by name, and by address if two runs of a host have the same name.
func (pe Peer) before(other Peer) bool {
	if pe.Name != other.Name {
		return pe.Name < other.Name
	}
	return strings.Compare(pe.Address, other.Address) < 0
}
