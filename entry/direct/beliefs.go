package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
)

// announced is an adapter version with the time at which the node learned of it.
type announced struct {
	version int
	at      time.Time
	// listed is true for one that was there when the node started: its age is not known.
	listed bool
}

// beliefs is what a node has read of the log.
type beliefs struct {
	table atomic.Pointer[paths.Table]
	// away is true while the log of routes does not answer.
	away atomic.Bool

	mu       sync.Mutex
	versions map[grant.Key]announced
	servers  roster.Roster
	listed   bool
}

// newBeliefs returns the beliefs of a node that has read nothing.
func newBeliefs() *beliefs {
	return &beliefs{versions: map[grant.Key]announced{}}
}

// setTable takes a version of the routes and tells whether it is newer than the one in force.
func (be *beliefs) setTable(ta *paths.Table) bool {
	for {
		now := be.table.Load()
		if now != nil && ta.Version <= now.Version {
			return false
		}
		if be.table.CompareAndSwap(now, ta) {
			return true
		}
	}
}

// announce takes an adapter version; versions never go back.
func (be *beliefs) announce(av *AdapterVersion, listed bool, now time.Time) bool {
	be.mu.Lock()
	defer be.mu.Unlock()
	ke := grant.Key{Model: av.Model, Adapter: av.Adapter}
	if av.Version <= be.versions[ke].version {
		return false
	}
	be.versions[ke] = announced{version: av.Version, at: now, listed: listed}
	return true
}

// version returns the newest version of an adapter and whether older ones are out of use.
func (be *beliefs) version(ke grant.Key, after time.Duration, now time.Time) (int, bool) {
	be.mu.Lock()
	defer be.mu.Unlock()
	an := be.versions[ke]
	return an.version, an.version > 0 && (an.listed || now.Sub(an.at) >= after)
}

// roster runs a function on the servers.
func (be *beliefs) roster(fn func(ro *roster.Roster)) {
	be.mu.Lock()
	defer be.mu.Unlock()
	fn(&be.servers)
}

// setListed records that the servers were listed once.
func (be *beliefs) setListed() {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.listed = true
}

// ready tells whether the node knows enough to serve.
func (be *beliefs) ready() bool {
	be.mu.Lock()
	defer be.mu.Unlock()
	return be.listed && be.table.Load() != nil
}
