package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// sameZonePeriod is the shortest time between two Holdings frames to an entry node in the same
	// zone.
	sameZonePeriod = 100 * time.Millisecond
	// otherZonePeriod is the same for entry nodes further away. It is longer because traffic between
	// zones is billed by volume.
	otherZonePeriod = 300 * time.Millisecond
	// otherRegionsRate is the number of Holdings frames that an agent sends to all entry nodes of
	// other regions together in a second, so that this traffic does not grow with their number.
	otherRegionsRate = 25
	// peersDelay is how long a change of the connected entry nodes is held back, so that those
	// which connect at the same time are reported together.
	peersDelay = 300 * time.Millisecond
)

// session is the connection of one entry node.
type session struct {
	co *link.Conn
	// number counts the connections of all entry nodes in the order in which they were accepted.
	number int64
	// name is the entry node's name followed by its boot ID.
	name string
	// peer is how other entry nodes reach the entry node.
	peer wire.Peer
	// sameZone is true if the entry node is in the agent's zone.
	sameZone bool
	// otherRegion is true if the entry node is known to be in another region.
	otherRegion bool
	// holdingsSentAt is when the last Holdings frame was sent; holdingsStale is true if the engine's
	// state may have changed since.
	holdingsSentAt time.Time
	holdingsStale  bool
	// versionsTold is true once the entry node has been told the software versions of services.
	versionsTold bool
	// fellSilent is true if the connection ended because nothing came from the entry node any more.
	fellSilent bool
	// peersDueAt is when the next Peers frame is due, the zero time if none is.
	peersDueAt time.Time
}

// newSession returns the session of an entry node that sent hello to the agent at a place.
func newSession(co *link.Conn, number int64, hello *wire.Hello, place *conf.Place) *session {
	return &session{
		co: co, number: number, name: hello.Entry + "/" + hello.EntryBoot, peer: wire.Peer{Name: hello.Entry, Address: hello.PeerAddress},
		sameZone: hello.Zone == place.Zone, otherRegion: hello.Region != "" && hello.Region != place.Region,
	}
}

// holdingsPeriod returns the shortest time between two Holdings frames to an entry node.
func (br *Broker) holdingsPeriod(se *session) time.Duration {
	switch {
	case se.sameZone:
		return sameZonePeriod
	case se.otherRegion:
		return max(otherZonePeriod, time.Second*time.Duration(br.otherRegionSessions)/otherRegionsRate)
	}
	return otherZonePeriod
}

// sessionsChanged handles that an entry node has connected or disconnected.
func (br *Broker) sessionsChanged() {
	br.countSessions()
	br.markPeersStale()
}

// countSessions counts the entry nodes in other regions after one has connected or disconnected.
func (br *Broker) countSessions() {
	br.otherRegionSessions = 0
	for _, se := range br.sessions {
		if se.otherRegion {
			br.otherRegionSessions++
		}
	}
}

// markPeersStale makes every entry node of the zone get a new Peers frame.
func (br *Broker) markPeersStale() {
	due := time.Now().Add(peersDelay)
	for _, se := range br.sessions {
		if se.sameZone && se.peersDueAt.IsZero() {
			se.peersDueAt = due
		}
	}
}

// sendPeers sends the connected entry nodes of the zone to one of them if that is due. It returns
// when to try again, or the zero time if there is nothing left to send.
func (br *Broker) sendPeers(se *session, now time.Time) time.Time {
	if se.peersDueAt.IsZero() || now.Before(se.peersDueAt) {
		return se.peersDueAt
	}
	if !se.co.TrySend(&wire.Frame{Peers: &wire.Peers{Entries: br.zonePeers()}}) {
		return now.Add(sameZonePeriod)
	}
	se.peersDueAt = time.Time{}
	return se.peersDueAt
}

// zonePeers returns the connected entry nodes of the agent's zone that others can reach, sorted by
// name and address.
func (br *Broker) zonePeers() []wire.Peer {
	peers := make([]wire.Peer, 0, len(br.sessions))
	for _, se := range br.sessions {
		if se.sameZone && se.peer.Address != "" {
			peers = append(peers, se.peer)
		}
	}
	slices.SortFunc(peers, func(aa, bb wire.Peer) int {
		return strings.Compare(aa.Name+" "+aa.Address, bb.Name+" "+bb.Address)
	})
	return peers
}
