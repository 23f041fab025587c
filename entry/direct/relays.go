package direct

import (
	"maps"
	"slices"

	"github.com/bambooladder/bambooladder/core/wire"
)

// commonRelays is the number of agents that pass on the reports of entry nodes in any zone.
const commonRelays = 2

// shareReport sends a frame with a report to the agents that pass reports on to the other entry nodes,
// and returns how many took it.
func (as *agents) shareReport(fr *wire.Frame) int {
	as.mu.Lock()
	defer as.mu.Unlock()
	sent := 0
	for _, host := range as.relays() {
		if as.links[host].co.TrySend(fr) {
			sent++
		}
	}
	return sent
}

// relays returns the hosts of the agents that pass reports on: the first ones of all and the first
// one of the node's own zone, without those that do not respond. Nodes with the same connections
// choose the same agents, so that few agents keep all reports for nodes that start later.
func (as *agents) relays() []string {
	list := make([]string, 0, commonRelays+1)
	ownZone := false
	for _, host := range slices.Sorted(maps.Keys(as.links)) {
		own := as.zoneOf(host) == as.no.options.Settings.Place.Zone
		if as.links[host].silent || len(list) >= commonRelays && (ownZone || !own) {
			continue
		}
		list = append(list, host)
		ownZone = ownZone || own
	}
	return list
}
