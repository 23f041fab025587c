package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// slowEvents is the number of events of a slow stream.
const slowEvents = 6

// writeSlowly returns a script that writes a sound stream with a steady time between its events and before the first one.
func writeSlowly(gap time.Duration) func(wr http.ResponseWriter, rq *http.Request) {
	return func(wr http.ResponseWriter, rq *http.Request) {
		writeSealHeaders(wr, rq)
		rc := http.NewResponseController(wr)
		for number := 1; number <= slowEvents; number++ {
			time.Sleep(gap)
			if _, err := fmt.Fprintf(wr, "id: %d\ndata: event %d\n\n", number, number); err != nil || rc.Flush() != nil {
				return
			}
		}
	}
}

// A sound stream whose events come slowly must run once, to its end, whether or not the agent beside its engine has anything to
// report meanwhile: agents send a heartbeat each second, and an engine counted as silent after 0.7 s.
func TestDirectSlowButSoundStreamRunsOnce(t *testing.T) {
	for _, gap := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
				ds.patientRoutes()
				ds.setAllScripts(writeSlowly(gap))
				re := ds.sendPatiently(t.Context(), "entry-1", "slow", "/stream/x", "a1", strings.NewReader("prompt"))
				if events := strings.Count(re.body, "data:"); re.err != nil || events != slowEvents {
					t.Errorf("%d events, error %v, want %d", events, re.err, slowEvents)
				}
				if got := ds.allRequests(); len(got) != 1 {
					t.Errorf("servers received %q, want one request", got)
				}
			})
		})
	}
}

// An agent that stands still does not show that its engine does: what runs there must neither be cut nor run again.
func TestDirectStreamRunsOnceWhileTheAgentOfItsEngineStandsStill(t *testing.T) {
	runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		ds.patientRoutes()
		ds.setAllScripts(writeSlowly(900 * time.Millisecond))
		go func() {
			time.Sleep(1500 * time.Millisecond)
			for id := range ds.backends {
				ds.net.silenceOpenConnections("entry-1", id+":7")
			}
		}()
		re := ds.sendPatiently(t.Context(), "entry-1", "slow", "/stream/x", "a1", strings.NewReader("prompt"))
		if events := strings.Count(re.body, "data:"); re.err != nil || events != slowEvents {
			t.Errorf("%d events, error %v, want %d", events, re.err, slowEvents)
		}
		if got := ds.allRequests(); len(got) != 1 {
			t.Errorf("servers received %q, want one request", got)
		}
	})
}
