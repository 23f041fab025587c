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
	peerPath    = "/peer/beliefs"
	peerTimeout = 700 * time.Millisecond
	peerBytes   = 8 << 20
)

// snapshot is what a node tells a peer that starts while the log is away.
type snapshot struct {
	Table    *paths.Table     `cbor:"table"`
	Versions []AdapterVersion `cbor:"versions"`
	Servers  []roster.Record  `cbor:"servers"`
}

// snapshot returns what the node believes.
func (be *beliefs) snapshot() snapshot {
	be.mu.Lock()
	defer be.mu.Unlock()
	sn := snapshot{Table: be.table.Load(), Servers: be.servers.Records()}
	for ke, an := range be.versions {
		sn.Versions = append(sn.Versions, AdapterVersion{Model: ke.Model, Adapter: ke.Adapter, Version: an.version})
	}
	return sn
}

// servePeer answers a peer that starts.
func (no *Node) servePeer(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path != peerPath || !no.be.ready() {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	data, err := cbor.Marshal(no.be.snapshot())
	if err != nil {
		no.lg.Error().Str("error", err.Error()).Msg("snapshot_not_encoded")
		wr.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := wr.Write(data); err != nil {
		no.lg.Info().Str("error", err.Error()).Msg("snapshot_not_sent")
	}
}

// askPeers takes what peers believe, while the log does not answer; the newest of it counts.
func (no *Node) askPeers(ctx context.Context) {
	for _, address := range no.op.Settings.Peers {
		if address == no.op.Settings.PeerAddress {
			continue
		}
		sn, err := no.askPeer(ctx, address)
		if err != nil {
			no.lg.Info().Str("peer", address).Str("error", err.Error()).Msg("peer_not_asked")
			continue
		}
		no.takeSnapshot(sn, address)
	}
}

// askPeer reads the beliefs of one peer.
func (no *Node) askPeer(ctx context.Context, address string) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+peerPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "direct: build question to peer")
	}
	hc := &http.Client{Transport: &http.Transport{DialContext: no.op.Network.DialContext, DisableKeepAlives: true}}
	resp, err := hc.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "direct: ask peer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("direct: peer answered %d; it may know nothing yet", resp.StatusCode)
	}
	buf := bytes.Buffer{}
	if _, err := buf.ReadFrom(io.LimitReader(resp.Body, peerBytes)); err != nil {
		return nil, errors.Wrap(err, "direct: read beliefs of peer")
	}
	sn := &snapshot{}
	return sn, errors.Wrap(cbor.Unmarshal(buf.Bytes(), sn), "direct: decode beliefs of peer")
}

// takeSnapshot enters what a peer believes.
func (no *Node) takeSnapshot(sn *snapshot, address string) {
	now := time.Now()
	if sn.Table != nil {
		no.be.setTable(sn.Table.Build())
	}
	for ix := range sn.Versions {
		no.be.announce(&sn.Versions[ix], true, now)
	}
	for ix := range sn.Servers {
		re := &sn.Servers[ix]
		no.be.roster(func(ro *roster.Roster) { ro.Put(re.Server, re.Offset) })
	}
	if len(sn.Servers) > 0 {
		no.be.setListed()
	}
	no.refresh(now)
	no.lg.Info().Str("peer", address).Int("servers", len(sn.Servers)).Int("versions", len(sn.Versions)).Msg("beliefs_taken_from_peer")
}
