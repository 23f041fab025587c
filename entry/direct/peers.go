package direct

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/reader"
	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/roster"
)

const (
	peerPath          = "/peer/beliefs"
	peerTimeout       = 700 * time.Millisecond
	maxPeerStateBytes = 8 << 20
	// peersAtOnce is the number of peers that are asked at the same time.
	peersAtOnce = 8
)

// peerState is the state that a node sends to a starting peer while the log is unavailable.
type peerState struct {
	// Epoch is the epoch of the log that the peer has read.
	Epoch    int64            `cbor:"epoch"`
	Table    *paths.Table     `cbor:"table"`
	Versions []AdapterVersion `cbor:"versions"`
	Servers  []roster.Record  `cbor:"servers"`
	// ServersEnd is the position up to which the peer has read the records of the servers, zero if it has read none or is
	// of an earlier version.
	ServersEnd roster.Position `cbor:"servers_end"`
}

// peerServers merges the servers that peers list. The zero value is empty.
type peerServers struct {
	// end is how far the peer has read that has read the most, ids the servers that it lists.
	end roster.Position
	ids map[string]bool
	// known holds the positions of the records that were taken over.
	known map[string]roster.Position
}

// merge returns those of a peer's servers to take over, and those taken over before that have left. A server has left if a peer
// that has read on beyond its record does not list it any more.
func (pv *peerServers) merge(ps *peerState) (kept []roster.Record, left []string) {
	if pv.known == nil {
		pv.known = map[string]roster.Position{}
	}
	if pv.end.Before(ps.ServersEnd) {
		pv.end, pv.ids = ps.ServersEnd, map[string]bool{}
		for ix := range ps.Servers {
			pv.ids[ps.Servers[ix].Server.ID] = true
		}
		for id, at := range pv.known {
			if pv.hasLeft(id, at) {
				left = append(left, id)
				delete(pv.known, id)
			}
		}
	}
	for ix := range ps.Servers {
		re := &ps.Servers[ix]
		if at := (roster.Position{Epoch: re.Epoch, Offset: re.Offset}); !pv.hasLeft(re.Server.ID, at) {
			kept = append(kept, *re)
			pv.known[re.Server.ID] = at
		}
	}
	return kept, left
}

// hasLeft reports whether a server with a record at a position has left.
func (pv *peerServers) hasLeft(id string, at roster.Position) bool {
	return at.Before(pv.end) && !pv.ids[id]
}

// peerState returns a copy of the view.
func (lv *logView) peerState() peerState {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	ps := peerState{Epoch: lv.epochs.Present(), Table: lv.table.Load(), Servers: lv.servers.Records()}
	for ke, list := range lv.versions {
		ps.Versions = append(ps.Versions, AdapterVersion{Model: ke.Model, Adapter: ke.Adapter, Version: list[len(list)-1].version})
	}
	return ps
}

// peerHandler returns the handler of requests from other entry nodes.
func (no *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.Path, no.feeds.serve)
	mux.HandleFunc("GET "+peerPath, no.servePeerState)
	return mux
}

// servePeerState sends the node's state to a starting peer.
func (no *Node) servePeerState(wr http.ResponseWriter, _ *http.Request) {
	if !no.view.ready() {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	// What the node reads meanwhile is in the state, and not before its end.
	end := no.feeds.followers[ServersTopic.String()].position()
	ps := no.view.peerState()
	ps.ServersEnd = end
	data, err := cbor.Marshal(ps)
	if err != nil {
		no.logger.Error().Str("error", err.Error()).Msg("snapshot_not_encoded")
		wr.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := wr.Write(data); err != nil {
		no.logger.Info().Str("error", err.Error()).Msg("snapshot_not_sent")
	}
}

// fetchFromPeers reads the state of all peers while the log is unavailable; the newest records
// win. The newest routes are applied first: older ones may allow what has been withdrawn since.
func (no *Node) fetchFromPeers(ctx context.Context) {
	merged := peerServers{}
	for _, pa := range no.fetchPeerStates(ctx) {
		no.mergePeerServers(&merged, pa)
		no.applyPeerState(pa.state, pa.address)
	}
}

// mergePeerServers leaves in a peer's state the servers that are taken over from it, and removes those that have left to its
// knowledge.
func (no *Node) mergePeerServers(merged *peerServers, pa peerAnswer) {
	kept, left := merged.merge(pa.state)
	no.logger.Info().Str("peer", pa.address).Int("listed", len(pa.state.Servers)).Int("kept", len(kept)).Int("left", len(left)).Msg("peer_servers_merged")
	pa.state.Servers = kept
	for _, id := range left {
		no.view.withRoster(func(ro *roster.Roster) { ro.RemoveReplaced(id) })
	}
}

// peerAnswer is the state of the peer at an address, nil if it could not be read.
type peerAnswer struct {
	address string
	state   *peerState
}

// routesVersion returns the version of the peer's routes.
func (pa *peerAnswer) routesVersion() int64 {
	if pa.state.Table == nil {
		return 0
	}
	return pa.state.Table.Version
}

// fetchPeerStates reads the states of all peers, some at a time, and returns those with the newest routes first.
func (no *Node) fetchPeerStates(ctx context.Context) []peerAnswer {
	places, answers, asked := make(chan struct{}, peersAtOnce), make(chan peerAnswer), 0
	for _, address := range no.options.Settings.Peers {
		if address == no.options.Settings.PeerAddress {
			continue
		}
		asked++
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			ps, err := no.fetchPeerState(ctx, address)
			if err != nil {
				no.logger.Info().Str("peer", address).Str("error", err.Error()).Msg("peer_not_asked")
				ps = nil
			}
			answers <- peerAnswer{address: address, state: ps}
		}()
	}
	list := make([]peerAnswer, 0, asked)
	for range asked {
		if pa := <-answers; pa.state != nil {
			list = append(list, pa)
		}
	}
	slices.SortFunc(list, func(left, right peerAnswer) int { return cmp.Compare(right.routesVersion(), left.routesVersion()) })
	return list
}

// compareRoutes takes the routes of the peer that has the newest, if they are newer than those that this node has read from
// the log when it started. The log may have come back from an older copy, in which keys that were withdrawn since are valid.
func (no *Node) compareRoutes(ctx context.Context, read *paths.Table) {
	list := no.fetchPeerStates(ctx)
	if len(list) == 0 || list[0].routesVersion() <= read.Version {
		return
	}
	now, newest := time.Now(), list[0].state.Table.Build()
	if no.setTable(newest, now) {
		no.logger.Warn().Str("peer", list[0].address).Int64("version", newest.Version).Int64("log_version", read.Version).Msg("routes_newer_at_peer")
		no.syncServers(now)
		no.agents.prepareEngines()
	}
}

// fetchPeerState reads the state of one peer.
func (no *Node) fetchPeerState(ctx context.Context, address string) (*peerState, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+peerPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "direct: build request to peer")
	}
	hc := reply.NewClient(&http.Transport{DialContext: no.options.Network.DialContext, DisableKeepAlives: true})
	resp, err := hc.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "direct: request peer state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("direct: peer returned status %d; it may not have read the log yet", resp.StatusCode)
	}
	buf := bytes.Buffer{}
	if _, err := buf.ReadFrom(io.LimitReader(resp.Body, maxPeerStateBytes)); err != nil {
		return nil, errors.Wrap(err, "direct: read peer state")
	}
	ps := &peerState{}
	return ps, errors.Wrap(cbor.Unmarshal(buf.Bytes(), ps), "direct: decode peer state")
}

// applyPeerState merges a peer's state into the node's view.
func (no *Node) applyPeerState(ps *peerState, address string) {
	now := time.Now()
	if ps.Table != nil {
		no.setTable(ps.Table.Build(), now)
	}
	for ix := range ps.Versions {
		no.view.addVersion(&ps.Versions[ix], true, now)
	}
	verdict, epoch := no.view.observeEpoch(ps.Epoch)
	if verdict == reader.EpochInvalid {
		no.logger.Info().Str("peer", address).Int64("epoch", ps.Epoch).Int64("present_epoch", epoch).Msg("peer_snapshot_outdated")
		ps.Servers = nil
	}
	for ix := range ps.Servers {
		re := &ps.Servers[ix]
		no.view.withRoster(func(ro *roster.Roster) { ro.Put(re.Server, roster.Position{Epoch: re.Epoch, Offset: re.Offset}) })
	}
	if len(ps.Servers) > 0 {
		no.view.setServersListed()
	}
	no.syncServers(now)
	no.logger.Info().Str("peer", address).Int("servers", len(ps.Servers)).Int("versions", len(ps.Versions)).Msg("peer_snapshot_applied")
}
