package proofs

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A request whose body never arrives whole must be answered at its deadline. The stop of its entry node waited ten
// minutes for it, and then cut it off.
func TestStopAnswersARequestWithoutItsWholeBody(t *testing.T) {
	const timeout = 3 * time.Second
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		co, err := sm.net.forHost("caller").DialContext(t.Context(), "tcp", entryName(0)+":1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = co.Close() }()
		_, _ = fmt.Fprintf(co, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nBambooladder-Timeout-Ms: %d\r\n"+
			"Content-Length: 100\r\n\r\n{\"model\":", callerToken, timeout.Milliseconds())
		start := time.Now()
		go sm.stop(entryName(0))
		resp, err := http.ReadResponse(bufio.NewReader(co), nil)
		if err != nil {
			t.Fatalf("no answer after %v: %v", time.Since(start), err)
		}
		_ = resp.Body.Close()
		if took := time.Since(start); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || took > timeout+time.Second {
			t.Errorf("status %d after %v, want 503 with a time to come back within %v", resp.StatusCode, took, timeout)
		}
		time.Sleep(time.Minute)
	})
}

// A call that outlasts the stop of its entry node gets an answer before its connection is closed.
func TestStopAnswersACallThatOutlastsIt(t *testing.T) {
	const stopTimeout = 10 * time.Second
	op := smallSimulation()
	op.serviceCallTime = time.Minute
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		done := make(chan reply, 1)
		go func() {
			done <- sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":1}`, 2*time.Minute)
		}()
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
		defer cancel()
		_ = sm.currentRun(entryName(0)).app.Stop(ctx)
		if re := <-done; re.err != nil || re.outcome != "unknown" || re.took > stopTimeout+time.Second {
			t.Errorf("status %d, error %v, outcome %q after %v, want an answer with an unknown outcome", re.status, re.err, re.outcome, re.took)
		}
	})
}
