package proofs

import (
	"net/http"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/stand/engine"
	"github.com/bambooladder/bambooladder/stand/faulty"
)

// recordedRuns returns how often the ledger service has recorded a call with the given body.
func (sm *simulation) recordedRuns(body string) int {
	count := 0
	for _, ca := range sm.plain.RecordedCalls() {
		if ca.Body == body {
			count++
		}
	}
	return count
}

// A call that must not run twice runs once also if its service closes a kept connection after the call has
// run, before the answer begins. The caller learns that it may have run.
func TestCallRunsOnceThoughItsServiceClosesTheConnectionWithoutAnAnswer(t *testing.T) {
	for name, front := range map[string]func(string, http.Handler) http.Handler{"connection kept": nil, "connection of its own": leaveOutIDs} {
		t.Run(name, func(t *testing.T) { testCallRunsOnceWithoutAnAnswer(t, front) })
	}
}

// leaveOutIDs keeps a backend server from repeating the IDs of requests, so that agents do not keep its connections.
func leaveOutIDs(_ string, inner http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		rq.Header.Del(engine.RequestHeader)
		inner.ServeHTTP(wr, rq)
	})
}

// testCallRunsOnceWithoutAnAnswer sends calls whose service closes the connection once they have run.
func testCallRunsOnceWithoutAnAnswer(t *testing.T, front func(string, http.Handler) http.Handler) {
	t.Helper()
	op := smallSimulation()
	op.front = front
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		for number, body := range []string{`{"batch":"lost"}`, ""} {
			// The connection of the second call is kept.
			for range 2 {
				if re := sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":"first"}`, 5*time.Second); re.status != http.StatusCreated {
					t.Fatalf("the first call got %+v", re)
				}
			}
			before := sm.recordedRuns(body)
			sm.ledger.SetMode(faulty.NoAnswer)
			re := sm.postRelease("caller", entryName(number%2), newIdempotencyKey(), body, 5*time.Second)
			sm.ledger.SetMode(faulty.Sound)
			if re.status < http.StatusBadRequest || re.outcome != "unknown" {
				t.Errorf("the call with the body %q got the status %d and the outcome %q, want an unknown outcome", body, re.status, re.outcome)
			}
			if runs := sm.recordedRuns(body) - before; runs != 1 {
				t.Errorf("the call with the body %q ran %d times, want once", body, runs)
			}
		}
	})
}

// On the way by which entry nodes send requests themselves, a call also runs once if a kept connection
// closes without an answer, and an answer without a body is delivered at once.
func TestDirectCallRunsOnceThoughItsServerClosesTheConnectionWithoutAnAnswer(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			writeSealHeaders(wr, rq)
			wr.WriteHeader(http.StatusNoContent)
		})
		start := time.Now()
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "first"); re.status != http.StatusNoContent || re.err != nil {
			t.Fatalf("an answer without a body got %+v", re)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("an answer without a body took %v of simulated time", took)
		}
		before := len(ds.allRequests())
		ds.setAllScripts(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "lost"); re.status < http.StatusBadRequest {
			t.Errorf("a call without an answer got the status %d", re.status)
		}
		if runs := len(ds.allRequests()) - before; runs != 1 {
			t.Errorf("the call ran %d times, want once", runs)
		}
	})
}
