package direct

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
)

const (
	peerPath         = "/peer/beliefs"
	peerTimeout      = 700 * time.Millisecond
	maxSnapshotBytes = 8 << 20
)

// snapshot is the state that a node sends to a starting peer while the log is unavailable.
type snapshot struct {
	Table    *paths.Table     `cbor:"table"`
	Versions []AdapterVersion `cbor:"versions"`
	Servers  []roster.Record  `cbor:"servers"`
}

// snapshot returns a copy of the view.
func (lv *logView) snapshot() snapshot {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	sn := snapshot{Table: lv.table.Load(), Servers: lv.servers.Records()}
	for ke, an := range lv.versions {
		sn.Versions = append(sn.Versions, AdapterVersion{Model: ke.Model, Adapter: ke.Adapter, Version: an.version})
	}
	return sn
}

// serveSnapshot sends the node's state to a starting peer.
func (no *Node) serveSnapshot(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path != peerPath || !no.view.ready() {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	data, err := cbor.Marshal(no.view.snapshot())
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
// win.
func (no *Node) fetchFromPeers(ctx context.Context) {
	for _, address := range no.options.Settings.Peers {
		if address == no.options.Settings.PeerAddress {
			continue
		}
		sn, err := no.fetchSnapshot(ctx, address)
		if err != nil {
			no.logger.Info().Str("peer", address).Str("error", err.Error()).Msg("peer_not_asked")
			continue
		}
		no.applySnapshot(sn, address)
	}
}

// fetchSnapshot reads the state of one peer.
func (no *Node) fetchSnapshot(ctx context.Context, address string) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+peerPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "direct: build request to peer")
	}
	hc := &http.Client{Transport: &http.Transport{DialContext: no.options.Network.DialContext, DisableKeepAlives: true}}
	resp, err := hc.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "direct: request peer snapshot")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("direct: peer returned status %d; it may not have read the log yet", resp.StatusCode)
	}
	buf := bytes.Buffer{}
	if _, err := buf.ReadFrom(io.LimitReader(resp.Body, maxSnapshotBytes)); err != nil {
		return nil, errors.Wrap(err, "direct: read peer snapshot")
	}
	sn := &snapshot{}
	return sn, errors.Wrap(cbor.Unmarshal(buf.Bytes(), sn), "direct: decode peer snapshot")
}

// applySnapshot merges a peer's state into the node's view.
func (no *Node) applySnapshot(sn *snapshot, address string) {
	now := time.Now()
	if sn.Table != nil {
		no.view.setTable(sn.Table.Build())
	}
	for ix := range sn.Versions {
		no.view.addVersion(&sn.Versions[ix], true, now)
	}
	for ix := range sn.Servers {
		re := &sn.Servers[ix]
		no.view.roster(func(ro *roster.Roster) { ro.Put(re.Server, re.Offset) })
	}
	if len(sn.Servers) > 0 {
		no.view.setServersListed()
	}
	no.syncServers(now)
	no.logger.Info().Str("peer", address).Int("servers", len(sn.Servers)).Int("versions", len(sn.Versions)).Msg("peer_snapshot_applied")
}
