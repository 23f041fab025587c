package direct

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

// releaseRecorder passes on the attempts that an entry node releases.
type releaseRecorder struct {
	released chan string
}

func (rr releaseRecorder) HandleHeartbeat(*wire.Heartbeat) {}
func (rr releaseRecorder) Heartbeat() (he wire.Heartbeat)  { return he }

func (rr releaseRecorder) HandleFrame(fr *wire.Frame) {
	if fr.Release != nil {
		rr.released <- fr.Release.Attempt
	}
}

// connectRecorder returns a connection, on which Run has not been called, to an agent that records releases.
func connectRecorder(t *testing.T, rr releaseRecorder) *link.Conn {
	t.Helper()
	hs := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		co, err := link.Accept(wr, rq)
		if err != nil {
			t.Error(err)
			return
		}
		_ = co.Run(t.Context(), rr)
	}))
	t.Cleanup(hs.Close)
	co, err := link.Dial(t.Context(), &net.Dialer{}, strings.TrimPrefix(hs.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	return co
}

// The release of an attempt must reach the agent even if the queue of the connection is full, as it is when the callers of
// a burst leave together. The agent would otherwise hold its place until the connection ends.
func TestReleaseReachesTheAgentOverAFullConnection(t *testing.T) {
	rr := releaseRecorder{released: make(chan string, 1)}
	co := connectRecorder(t, rr)
	for co.TrySend(&wire.Frame{Started: &wire.Started{Attempt: "other"}}) {
	}
	as := newAgents(&Node{})
	ac := &agentConn{co: co}
	as.links["host"] = ac
	as.granted["attempt"] = &heldGrant{host: "host"}
	as.release("attempt", wire.ReleaseEndingDone, 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = co.Run(ctx, idleReceiver{}) }()
	select {
	case attempt := <-rr.released:
		if attempt != "attempt" {
			t.Errorf("released %s", attempt)
		}
	case <-time.After(5 * time.Second):
		t.Error("the agent was not told that the attempt has ended")
	}
}

// A caller that leaves while its request waits for a grant must free its place at the agent within 100 ms.
func TestCallerThatLeavesReleasesItsReservation(t *testing.T) {
	rr := releaseRecorder{released: make(chan string, 1)}
	co := connectRecorder(t, rr)
	run, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = co.Run(run, idleReceiver{}) }()
	as := newAgents(&Node{})
	as.links["host"] = &agentConn{co: co}
	as.servers["host"] = "server"
	caller, leave := context.WithCancel(t.Context())
	result := make(chan grantResult, 1)
	go func() { result <- as.reserve(caller, "server", wire.Reserve{Attempt: "attempt", Budget: 10_000}) }()
	time.Sleep(50 * time.Millisecond)
	left := time.Now()
	leave()
	select {
	case <-rr.released:
		if took := time.Since(left); took > 100*time.Millisecond {
			t.Errorf("the agent was told after %s, want 100ms at most", took)
		}
	case <-time.After(5 * time.Second):
		t.Error("the agent was not told that the caller has left")
	}
	if gr := <-result; gr.reason != reasonCallerGone {
		t.Errorf("the reservation ended with %+v, want %s", gr, reasonCallerGone)
	}
}
