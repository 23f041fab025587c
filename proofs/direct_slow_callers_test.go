package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// longStreamEvents is the number of events of a stream that fills the buffers of the connections to a caller and to a
	// server, eventPeriod the time between two of them.
	longStreamEvents = 900
	eventPeriod      = 5 * time.Millisecond
	// unreadMax is how long a server lets an answer stay unread before it cuts it.
	unreadMax = 2 * time.Second
)

// writeLongStream writes a long stream, and cuts it if it stays unread for unreadMax.
func writeLongStream(wr http.ResponseWriter, rq *http.Request) {
	writeSealHeaders(wr, rq)
	rc := http.NewResponseController(wr)
	for number := 1; number <= longStreamEvents; number++ {
		time.Sleep(eventPeriod)
		begin := time.Now()
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: event %d\n\n", number, number); err != nil || rc.Flush() != nil {
			return
		}
		if time.Since(begin) > unreadMax {
			panic(http.ErrAbortHandler)
		}
	}
}

// open sends a request for a stream on a connection of its own and reads nothing.
func (ds *directSimulation) open(t *testing.T, id, target, adapter string, timeout time.Duration) net.Conn {
	t.Helper()
	nc, err := ds.net.forHost("caller").DialContext(t.Context(), "tcp", "entry-1:1")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: 6\r\n\r\nprompt",
		target, directHost, headerID, id, headerTimeout, timeout.Milliseconds(), headerAdapter, adapter)
	return nc
}

// Callers that keep their connections open and read nothing must not keep what their requests hold beyond the time limit:
// the writes to them had no end, and their adapters stayed on the engine.
func TestDirectCallersThatReadNothingHoldNoGrantsAfterTheirDeadline(t *testing.T) {
	runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(writeLongStream)
		for _, adapter := range []string{"a1", "a2"} {
			nc := ds.open(t, "unread-"+adapter, "/once/x", adapter, 4*time.Second)
			defer func() { _ = nc.Close() }()
		}
		time.Sleep(6 * time.Second)
		ds.setAllScripts(defaultAnswer)
		if re := cl.send(t.Context(), http.MethodPost, "/once/x", "a3", "prompt"); re.status != http.StatusOK || re.body != completeStream() {
			t.Errorf("status %d, error %v: %s, want the stream as both places of the engine are free", re.status, re.err, re.body)
		}
	})
}

// A caller that pauses for longer than servers let an answer stay unread must get the whole stream from one run of its request.
func TestDirectCallerThatPausesGetsItsStreamFromOneRun(t *testing.T) {
	for _, target := range []string{"/stream/x", "/once/x"} {
		t.Run(target, func(t *testing.T) {
			runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
				ds.patientRoutes()
				ds.setAllScripts(writeLongStream)
				nc := ds.open(t, "paused", target, "a1", 20*time.Second)
				defer func() { _ = nc.Close() }()
				time.Sleep(7 * time.Second)
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				if events := strings.Count(string(body), "data:"); err != nil || events != longStreamEvents {
					t.Errorf("%d events, error %v, want %d", events, err, longStreamEvents)
				}
				if got := ds.allRequests(); len(got) != 1 {
					t.Errorf("servers received %q, want one request", got)
				}
			})
		})
	}
}
