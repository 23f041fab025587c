package proofs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooladder/bambooladder/entry/direct"
)

// runDirectSimulation runs a test in virtual time on a deployment with the given numbers of plain
// servers and engines.
func runDirectSimulation(t *testing.T, plain, engines int, fn func(t *testing.T, ds *directSimulation, cl *directCaller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, plain, engines)
		defer ds.close()
		cl := ds.newCaller("entry-1")
		defer cl.client.CloseIdleConnections()
		fn(t, ds, cl)
	})
}

// setAllScripts sets the script of every backend server.
func (ds *directSimulation) setAllScripts(fn func(wr http.ResponseWriter, rq *http.Request)) {
	for _, ba := range ds.backends {
		ba.setScript(fn)
	}
}

// allRequests returns the requests that all backend servers received.
func (ds *directSimulation) allRequests() []string {
	list := []string(nil)
	for _, ba := range ds.backends {
		list = append(list, ba.receivedRequests()...)
	}
	return list
}

func TestDirectForwardsRequestsUnchanged(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		re := cl.send(t.Context(), http.MethodPut, "/unsafe//a/%2fb/../c;d?x=1&&y=%20+&", "", "the body\x00\xff")
		if re.status != http.StatusOK || re.body != "the whole answer" || re.err != nil {
			t.Fatalf("unexpected response %+v", re)
		}
		if got := ds.allRequests(); len(got) != 1 || got[0] != "id-1 PUT /unsafe//a/%2fb/../c;d?x=1&&y=%20+& the body\x00\xff" {
			t.Errorf("servers received %q, want the request unchanged and once", got)
		}
	})
}

func TestDirectRefusesUnknownRoutesAndOversizedBodies(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		if re := cl.send(t.Context(), http.MethodGet, "/nowhere/", "", ""); re.status != http.StatusNotFound {
			t.Errorf("request without a route: status %d, want 404", re.status)
		}
		if re := cl.send(t.Context(), http.MethodPost, "/safe/", "", strings.Repeat("x", 1001)); re.status != http.StatusRequestEntityTooLarge {
			t.Errorf("body above the limit: status %d, want 413", re.status)
		}
		if got := ds.allRequests(); len(got) != 0 {
			t.Errorf("servers received %q, want no request", got)
		}
	})
}

// An unsafe request that may have run must not be sent again, whatever is wrong with the answer.
func TestDirectSendsUnsafeRequestOnceWhenAnswerIsInvalid(t *testing.T) {
	for name, script := range map[string]func(wr http.ResponseWriter, rq *http.Request){
		"closed without an answer": func(wr http.ResponseWriter, _ *http.Request) { hijack(wr, func(*bufio.ReadWriter) {}) },
		"answer is not HTTP": func(wr http.ResponseWriter, _ *http.Request) {
			hijack(wr, func(bw *bufio.ReadWriter) { _, _ = bw.WriteString("\x00\x01 garbage\r\n\r\n") })
		},
		"body shorter than Content-Length": func(wr http.ResponseWriter, rq *http.Request) {
			writeSealHeaders(wr, rq)
			wr.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(wr, "short")
		},
		"answer without seal": func(wr http.ResponseWriter, rq *http.Request) {
			wr.Header().Set(headerID, rq.Header.Get(headerID))
			_, _ = io.WriteString(wr, "somebody's answer")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 3, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.setAllScripts(script)
				re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
				if re.status != http.StatusBadGateway || re.header.Get("Retry-After") != "" {
					t.Errorf("response %+v, want status 502 without Retry-After", re)
				}
				if got := ds.allRequests(); len(got) != 1 {
					t.Errorf("servers received %q, want one request", got)
				}
			})
		})
	}
}

func TestDirectRetriesUnsafeRequestThatServerDidNotRun(t *testing.T) {
	runDirectSimulation(t, 3, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.backends["plain-0"].setScript(answerNotRun)
		ds.backends["plain-1"].setScript(answerNotRun)
		for range 5 {
			if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
				t.Fatalf("unexpected response %+v", re)
			}
		}
		ds.setAllScripts(answerNotRun)
		re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
		if re.status != http.StatusServiceUnavailable || re.header.Get("Retry-After") == "" || re.took > time.Second {
			t.Errorf("response %+v, want status 503 with Retry-After within a second", re)
		}
	})
}

func TestDirectRetriesSafeRequestAfterServerError(t *testing.T) {
	runDirectSimulation(t, 2, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.backends["plain-0"].setScript(func(wr http.ResponseWriter, rq *http.Request) {
			writeSealHeaders(wr, rq)
			wr.WriteHeader(http.StatusInternalServerError)
		})
		for range 10 {
			if re := cl.send(t.Context(), http.MethodGet, "/safe/x", "", ""); re.status != http.StatusOK || re.err != nil {
				t.Fatalf("unexpected response %+v", re)
			}
		}
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			writeSealHeaders(wr, rq)
			wr.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(wr, "my own failure")
		})
		if re := cl.send(t.Context(), http.MethodGet, "/safe/x", "", ""); re.status != http.StatusInternalServerError || re.body != "my own failure" {
			t.Errorf("response %+v, want the server's own error response", re)
		}
	})
}

// A late answer to an earlier request on the same connection must not reach the caller.
func TestDirectSkipsAnswerToAnotherRequest(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			hijack(wr, func(bw *bufio.ReadWriter) {
				for _, id := range []string{"id-of-another", rq.Header.Get(headerID)} {
					_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, len(id), id)
				}
			})
		})
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK || re.body != "id-1" {
			t.Errorf("unexpected response %+v", re)
		}
	})
}

func TestDirectForwardsStreamUnchanged(t *testing.T) {
	runDirectSimulation(t, 0, 2, func(t *testing.T, _ *directSimulation, cl *directCaller) {
		re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt")
		if re.status != http.StatusOK || re.body != completeStream() || re.err != nil {
			t.Fatalf("unexpected response %+v", re)
		}
	})
}

// abortAfter writes some events and half of another one, and closes the connection.
func abortAfter(count int) func(wr http.ResponseWriter, rq *http.Request) {
	return func(wr http.ResponseWriter, rq *http.Request) {
		hijack(wr, func(bw *bufio.ReadWriter) {
			_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\n"+streamLines+"\r\n", headerID, rq.Header.Get(headerID), headerSeal)
			for number := 1; number <= count; number++ {
				_, _ = bw.WriteString(encodeChunk(fmt.Sprintf("id: %d\ndata: event %d\n\n", number, number)))
			}
			_, _ = bw.WriteString(encodeChunk("id: 99\ndata: hal"))
		})
	}
}

func TestDirectResumesAbortedStreamOnAnotherServer(t *testing.T) {
	runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		aborted := ""
		script := func(id string) func(wr http.ResponseWriter, rq *http.Request) {
			return func(wr http.ResponseWriter, rq *http.Request) {
				if aborted == "" {
					aborted = id
					abortAfter(4)(wr, rq)
					return
				}
				defaultAnswer(wr, rq)
			}
		}
		for id, ba := range ds.backends {
			ba.setScript(script(id))
		}
		re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt")
		if re.status != http.StatusOK || re.body != completeStream() || re.err != nil {
			t.Fatalf("unexpected response %+v", re)
		}
		if got := ds.allRequests(); len(got) != 2 {
			t.Errorf("servers received %q, want two requests", got)
		}
	})
}

// If an aborted stream can't be resumed, the caller must see an error and not a complete response.
func TestDirectAbortsStreamThatCannotResume(t *testing.T) {
	for name, then := range map[string]func(wr http.ResponseWriter, rq *http.Request){
		"server error": func(wr http.ResponseWriter, rq *http.Request) {
			writeSealHeaders(wr, rq)
			wr.WriteHeader(http.StatusInternalServerError)
		},
		"not run":   answerNotRun,
		"no answer": func(wr http.ResponseWriter, _ *http.Request) { hijack(wr, func(*bufio.ReadWriter) {}) },
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
					if rq.Header.Get(headerLastEvent) == "" {
						abortAfter(4)(wr, rq)
						return
					}
					then(wr, rq)
				})
				re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt")
				if re.err == nil {
					t.Errorf("aborted stream of 4 events ended without an error: %+v", re)
				}
				if re.body != completeStream()[:len(re.body)] {
					t.Errorf("the body is not the beginning of the complete stream: %q", re.body)
				}
			})
		})
	}
}

func TestDirectSendsNonResumableStreamOnce(t *testing.T) {
	runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(abortAfter(3))
		if re := cl.send(t.Context(), http.MethodPost, "/once/x", "a1", "prompt"); re.err == nil {
			t.Errorf("aborted stream ended without an error: %+v", re)
		}
		if got := ds.allRequests(); len(got) != 1 {
			t.Errorf("servers received %q, want one request", got)
		}
	})
}

func TestDirectCancelsServerRequestWhenCallerDisconnects(t *testing.T) {
	runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(func(_ http.ResponseWriter, rq *http.Request) {
			select {
			case <-rq.Context().Done():
			case <-time.After(30 * time.Second):
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		cl.send(ctx, http.MethodPost, "/once/x", "a1", "prompt")
		time.Sleep(400 * time.Millisecond)
		if ds.backends["engine-0"].canceledRequests() != 1 {
			t.Error("the server's request is not canceled 0.4 s after the caller disconnected")
		}
	})
}

func TestDirectAnswersGatewayTimeoutWithinCallerTimeout(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
		re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
		if re.status != http.StatusGatewayTimeout || re.took > 4*time.Second {
			t.Errorf("status %d after %v, want 504 within the caller's timeout of 4 s", re.status, re.took)
		}
	})
}

func TestDirectSendsNothingToLeavingServer(t *testing.T) {
	runDirectSimulation(t, 2, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.announceServer("plain-0", "ledger", "", true)
		time.Sleep(1200 * time.Millisecond)
		before := len(ds.backends["plain-0"].receivedRequests())
		for range 20 {
			cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
		}
		if after := len(ds.backends["plain-0"].receivedRequests()); after != before {
			t.Errorf("%d requests reached a leaving server", after-before)
		}
	})
}

func TestDirectStopsUsingReplacedServer(t *testing.T) {
	runDirectSimulation(t, 2, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.backends["plain-0"].setScript(func(wr http.ResponseWriter, rq *http.Request) {
			wr.Header().Set(headerServer, "plain-9")
			wr.Header().Set(headerID, rq.Header.Get(headerID))
			wr.WriteHeader(http.StatusMisdirectedRequest)
		})
		for range 20 {
			if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
				t.Fatalf("unexpected response %+v", re)
			}
		}
		if got := len(ds.backends["plain-0"].receivedRequests()); got > 1 {
			t.Errorf("the replaced server received %d requests, want at most one", got)
		}
	})
}

// A frozen host keeps its connections open but sends nothing; the stream must move to another server
// long before the host continues after 8 s.
func TestDirectResumesStreamWhenHostFreezes(t *testing.T) {
	runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		frozen := ""
		script := func(id string) func(wr http.ResponseWriter, rq *http.Request) {
			return func(wr http.ResponseWriter, rq *http.Request) {
				writeSealHeaders(wr, rq)
				if frozen == "" {
					frozen = id
					writeEvents(wr, rq, 3)
					ds.net.freeze(id, 8*time.Second)
					time.Sleep(8 * time.Second)
					return
				}
				writeEvents(wr, rq, streamEventCount)
			}
		}
		for id, ba := range ds.backends {
			ba.setScript(script(id))
		}
		re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt")
		if re.status != http.StatusOK || re.body != completeStream() || re.err != nil || re.took > 2500*time.Millisecond {
			t.Errorf("status %d, %d bytes, error %v after %v, want the complete stream within 2.5 s", re.status, len(re.body), re.err, re.took)
		}
	})
}

func TestDirectServesWhileLogIsDown(t *testing.T) {
	runDirectSimulation(t, 1, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.source.setDown(true)
		time.Sleep(20 * time.Second)
		if re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt"); re.status != http.StatusOK {
			t.Errorf("unexpected response %+v", re)
		}
		ds.startEntry("entry-2")
		other := ds.newCaller("entry-2")
		defer other.client.CloseIdleConnections()
		if re := other.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
			t.Errorf("an entry node started during the log outage answered %+v", re)
		}
	})
}

// When all entry nodes lose power while the log is down, a restarted one has no routes. It must
// answer 503 with a Retry-After long enough that callers return only once, after the log recovers.
func TestDirectAnswersRetryAfterWithoutRoutes(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		last := len(ds.apps) - 1
		_ = ds.apps[last].Stop(t.Context())
		ds.apps = ds.apps[:last]
		ds.source.setDown(true)
		ds.startEntry("entry-2")
		cl := ds.newCaller("entry-2")
		defer cl.client.CloseIdleConnections()
		re := cl.send(t.Context(), http.MethodPost, "/safe/x", "", "")
		after, err := strconv.ParseFloat(re.header.Get("Retry-After"), 64)
		if re.status != http.StatusServiceUnavailable || err != nil || after < 3 || after > 5 {
			t.Errorf("status %d with Retry-After %q, want 503 with 3 to 5 s", re.status, re.header.Get("Retry-After"))
		}
		ds.source.setDown(false)
		time.Sleep(time.Duration(after * float64(time.Second)))
		if re := cl.send(t.Context(), http.MethodPost, "/safe/x", "", ""); re.status != http.StatusOK {
			t.Errorf("response %+v to a caller that returned after Retry-After, want status 200", re)
		}
	})
}

func TestDirectIgnoresOlderRoutesVersion(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		next := routeTable(5)
		next.Routes = next.Routes[:1]
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: next.Build()})
		time.Sleep(100 * time.Millisecond)
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: routeTable(4)})
		time.Sleep(time.Second)
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusNotFound {
			t.Errorf("a route removed in version 5 answers %d after version 4 arrived late, want 404", re.status)
		}
	})
}

// The log may fail to wake a waiting read when a record is appended; the entry node must find the
// record within 2.5 s nevertheless.
func TestDirectAppliesRoutesThatLongPollMissed(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		time.Sleep(30 * time.Second)
		next := routeTable(5)
		next.Routes = next.Routes[:1]
		ds.source.appendWithoutWaking(direct.OperatorsTopic, direct.LogRecord{Table: next.Build()})
		time.Sleep(2500 * time.Millisecond)
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusNotFound {
			t.Errorf("status %d: the route removed 2.5 s ago is still in force", re.status)
		}
	})
}

// A log that answers reads at once without the expected records must not be polled without a pause,
// because each read is billed.
func TestDirectLimitsReadRateWhenLogReturnsNothing(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		ds.source.mu.Lock()
		ds.source.returnsNothing, ds.source.reads = true, 0
		ds.source.mu.Unlock()
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: routeTable(2)})
		time.Sleep(10 * time.Second)
		ds.source.mu.Lock()
		defer ds.source.mu.Unlock()
		if ds.source.reads > 100 {
			t.Errorf("%d reads in 10 s, want at most 100 since each read is billed", ds.source.reads)
		}
	})
}

func TestDirectStopFinishesOpenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 1)
		defer ds.close()
		cl, idle := ds.newCaller("entry-1"), ds.newCaller("entry-1")
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			writeSealHeaders(wr, rq)
			for number := 1; number <= streamEventCount; number++ {
				time.Sleep(350 * time.Millisecond)
				_, _ = fmt.Fprintf(wr, "id: %d\ndata: event %d\n\n", number, number)
				_ = http.NewResponseController(wr).Flush()
			}
		})
		idle.send(t.Context(), http.MethodGet, "/nowhere/", "", "")
		done := make(chan directReply)
		go func() { done <- cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt") }()
		time.Sleep(500 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			_ = ds.apps[len(ds.apps)-1].Stop(context.Background())
			close(stopped)
		}()
		if re := <-done; re.err != nil || re.body != completeStream() {
			t.Errorf("the stop aborted an open stream: %+v", re)
		}
		<-stopped
		ds.apps = ds.apps[:len(ds.apps)-1]
	})
}

// A connection on which no request was sent must not delay the stop until its time limit.
func TestDirectStopDoesNotWaitForUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 0)
		defer ds.close()
		co, err := ds.net.forHost("caller").DialContext(t.Context(), "tcp", "entry-1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = co.Close() }()
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		_ = ds.apps[len(ds.apps)-1].Stop(context.Background())
		ds.apps = ds.apps[:len(ds.apps)-1]
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("a stop without open requests took %v, want at most half of the 8 s that are allowed", took)
		}
	})
}
