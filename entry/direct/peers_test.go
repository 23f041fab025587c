package direct

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// loopback is the network of this host.
type loopback struct{ net.Dialer }

func (*loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// newPeer starts a peer that has a version of the routes and sends its state after a delay.
func newPeer(t *testing.T, version int64, delay time.Duration) string {
	t.Helper()
	data, err := cbor.Marshal(peerState{Epoch: 1, Table: &paths.Table{Version: version}})
	if err != nil {
		t.Fatal(err)
	}
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		time.Sleep(delay)
		_, _ = wr.Write(data)
	}))
	t.Cleanup(sv.Close)
	return strings.TrimPrefix(sv.URL, "http://")
}

// A key that is withdrawn in newer routes must not be valid for as long as a slow peer takes to send these.
func TestNewestRoutesOfPeersComeFirst(t *testing.T) {
	gone := httptest.NewServer(nil)
	gone.Close()
	peers := []string{newPeer(t, 4, 0), strings.TrimPrefix(gone.URL, "http://"), newPeer(t, 6, 200*time.Millisecond), newPeer(t, 5, 50*time.Millisecond), newPeer(t, 9, 2*peerTimeout)}
	no := newNode(Options{Settings: conf.DirectEntrySettings{Peers: peers}, Network: &loopback{}, Logger: zerolog.Nop()})
	defer no.cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		no.fetchFromPeers(context.Background())
	}()
	for reading := true; reading; {
		select {
		case <-ended:
			reading = false
		case <-time.After(time.Millisecond):
		}
		if ta := no.view.table.Load(); ta != nil && ta.Version != 6 {
			t.Fatalf("routes of version %d are in force", ta.Version)
		}
	}
	if no.view.table.Load() == nil {
		t.Fatal("no routes are in force")
	}
	list := no.fetchPeerStates(context.Background())
	versions := make([]int64, 0, len(list))
	for _, pa := range list {
		versions = append(versions, pa.routesVersion())
	}
	if len(versions) != 3 || versions[0] != 6 || versions[1] != 5 || versions[2] != 4 {
		t.Errorf("peers in the order of versions %v", versions)
	}
}

// A peer sends an invalid head. Its state must not be used.
func TestStateOfAPeerWithAnInvalidHeadIsNotTakenOver(t *testing.T) {
	data, err := cbor.Marshal(peerState{Epoch: 1, Table: &paths.Table{Version: 4}})
	if err != nil {
		t.Fatal(err)
	}
	fakes.ServeInvalid(t, string(data), func(address, answer string) {
		no := newNode(Options{Settings: conf.DirectEntrySettings{Peers: []string{address}}, Network: &loopback{}, Logger: zerolog.Nop()})
		defer no.cancel()
		if ps, err := no.fetchPeerState(t.Context(), address); err == nil {
			t.Errorf("%q: state %+v", answer, ps)
		}
	})
}
