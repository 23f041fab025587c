package direct

import (
	"fmt"
	"testing"

	"github.com/bambooladder/bambooladder/core/roster"
)

// stateOf returns the state of a peer that has read the records of the servers up to an offset and lists some of them, each by the
// offset of its record.
func stateOf(end int64, servers ...int64) *peerState {
	ps := &peerState{ServersEnd: roster.Position{Epoch: 1, Offset: end}}
	for _, offset := range servers {
		ps.Servers = append(ps.Servers, roster.Record{Server: roster.Server{ID: fmt.Sprintf("server-%d", offset)}, Epoch: 1, Offset: offset})
	}
	return ps
}

// A starting node must take over each server that a peer lists, but for those that have left to the knowledge of the peer that
// has read the most, in whatever order the peers answer.
func TestServersThatHaveLeftAreNotTakenOverFromALaggingPeer(t *testing.T) {
	ahead, lagging, starting := stateOf(10, 2, 3, 7), stateOf(5, 1, 2, 3), &peerState{Servers: stateOf(0, 2, 11).Servers}
	for _, states := range [][]*peerState{{ahead, lagging, starting}, {lagging, ahead, starting}, {starting, lagging, ahead}, {lagging, starting, ahead}} {
		pv, listed := peerServers{}, map[string]bool{}
		for _, ps := range states {
			kept, left := pv.merge(ps)
			for _, id := range left {
				delete(listed, id)
			}
			for ix := range kept {
				listed[kept[ix].Server.ID] = true
			}
		}
		if len(listed) != 4 || !listed["server-2"] || !listed["server-3"] || !listed["server-7"] || !listed["server-11"] {
			t.Errorf("taken over: %v, want the servers 2, 3, 7 and 11", listed)
		}
	}
}
