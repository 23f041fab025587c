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

// inDirectWorld runs a test in virtual time.
func inDirectWorld(t *testing.T, plain, engines int, fn func(t *testing.T, dw *directWorld, cl *directCaller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		dw := newDirectWorld(t, plain, engines)
		defer dw.close()
		cl := dw.newCaller("entry-1")
		defer cl.client.CloseIdleConnections()
		fn(t, dw, cl)
	})
}

// all sets the script of every backend server.
func (dw *directWorld) all(fn func(wr http.ResponseWriter, rq *http.Request)) {
	for _, ba := range dw.backends {
		ba.setScript(fn)
	}
}

// ran returns what all backend servers were asked.
func (dw *directWorld) ran() []string {
	list := []string(nil)
	for _, ba := range dw.backends {
		list = append(list, ba.runs()...)
	}
	return list
}

func TestDirectPassesRequestsByteForByte(t *testing.T) {
	inDirectWorld(t, 1, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		re := cl.send(t.Context(), http.MethodPut, "/unsafe//a/%2fb/../c;d?x=1&&y=%20+&", "", "the body\x00\xff")
		if re.status != http.StatusOK || re.body != "the whole answer" || re.err != nil {
			t.Fatalf("answered %+v", re)
		}
		if got := dw.ran(); len(got) != 1 || got[0] != "id-1 PUT /unsafe//a/%2fb/../c;d?x=1&&y=%20+& the body\x00\xff" {
			t.Errorf("ran %q", got)
		}
	})
}

func TestDirectRefusesWhatNoRouteOrLimitAllows(t *testing.T) {
	inDirectWorld(t, 1, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		if re := cl.send(t.Context(), http.MethodGet, "/nowhere/", "", ""); re.status != http.StatusNotFound {
			t.Errorf("no route: %d", re.status)
		}
		if re := cl.send(t.Context(), http.MethodPost, "/safe/", "", strings.Repeat("x", 1001)); re.status != http.StatusRequestEntityTooLarge {
			t.Errorf("long body: %d", re.status)
		}
		if got := dw.ran(); len(got) != 0 {
			t.Errorf("ran %q", got)
		}
	})
}

func TestDirectSendsAnUnsafeRequestOnce(t *testing.T) {
	for name, script := range map[string]func(wr http.ResponseWriter, rq *http.Request){
		"closed without an answer": func(wr http.ResponseWriter, _ *http.Request) { raw(wr, func(*bufio.ReadWriter) {}) },
		"no answer in the protocol": func(wr http.ResponseWriter, _ *http.Request) {
			raw(wr, func(bw *bufio.ReadWriter) { _, _ = bw.WriteString("\x00\x01 garbage\r\n\r\n") })
		},
		"body cut short": func(wr http.ResponseWriter, rq *http.Request) {
			seal(wr, rq)
			wr.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(wr, "short")
		},
		"no seal": func(wr http.ResponseWriter, rq *http.Request) {
			wr.Header().Set(testID, rq.Header.Get(testID))
			_, _ = io.WriteString(wr, "somebody's answer")
		},
	} {
		t.Run(name, func(t *testing.T) {
			inDirectWorld(t, 3, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
				dw.all(script)
				re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
				if re.status != http.StatusBadGateway || re.header.Get("Retry-After") != "" {
					t.Errorf("answered %+v, want a 502 that promises nothing", re)
				}
				if got := dw.ran(); len(got) != 1 {
					t.Errorf("ran %q", got)
				}
			})
		})
	}
}

func TestDirectTriesAnotherServerAfterOneThatHasNotRun(t *testing.T) {
	inDirectWorld(t, 3, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.backends["plain-0"].setScript(notRun)
		dw.backends["plain-1"].setScript(notRun)
		for range 5 {
			if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
				t.Fatalf("answered %+v", re)
			}
		}
		dw.all(notRun)
		re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
		if re.status != http.StatusServiceUnavailable || re.header.Get("Retry-After") == "" || re.took > time.Second {
			t.Errorf("answered %+v, want a 503 at once that tells when to come back", re)
		}
	})
}

func TestDirectRepeatsASafeRequest(t *testing.T) {
	inDirectWorld(t, 2, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.backends["plain-0"].setScript(func(wr http.ResponseWriter, rq *http.Request) {
			seal(wr, rq)
			wr.WriteHeader(http.StatusInternalServerError)
		})
		for range 10 {
			if re := cl.send(t.Context(), http.MethodGet, "/safe/x", "", ""); re.status != http.StatusOK || re.err != nil {
				t.Fatalf("answered %+v", re)
			}
		}
		dw.all(func(wr http.ResponseWriter, rq *http.Request) {
			seal(wr, rq)
			wr.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(wr, "my own failure")
		})
		if re := cl.send(t.Context(), http.MethodGet, "/safe/x", "", ""); re.status != http.StatusInternalServerError || re.body != "my own failure" {
			t.Errorf("answered %+v, want the server's own failure", re)
		}
	})
}

func TestDirectPassesOverAnAnswerToAnotherRequest(t *testing.T) {
	inDirectWorld(t, 1, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.all(func(wr http.ResponseWriter, rq *http.Request) {
			raw(wr, func(bw *bufio.ReadWriter) {
				for _, id := range []string{"id-of-another", rq.Header.Get(testID)} {
					_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n%s", testID, id, testSeal, len(id), id)
				}
			})
		})
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK || re.body != "id-1" {
			t.Errorf("answered %+v", re)
		}
	})
}

func TestDirectPassesAStreamAsItComes(t *testing.T) {
	inDirectWorld(t, 0, 2, func(t *testing.T, _ *directWorld, cl *directCaller) {
		re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt")
		if re.status != http.StatusOK || re.body != wholeStream() || re.err != nil {
			t.Fatalf("answered %+v", re)
		}
	})
}

// breakAfter writes some events and half of another, and breaks off.
func breakAfter(count int) func(wr http.ResponseWriter, rq *http.Request) {
	return func(wr http.ResponseWriter, rq *http.Request) {
		raw(wr, func(bw *bufio.ReadWriter) {
			_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nTransfer-Encoding: chunked\r\n\r\n", testID, rq.Header.Get(testID), testSeal)
			for number := 1; number <= count; number++ {
				_, _ = bw.WriteString(chunk(fmt.Sprintf("id: %d\ndata: event %d\n\n", number, number)))
			}
			_, _ = bw.WriteString(chunk("id: 99\ndata: hal"))
		})
	}
}

func TestDirectResumesABrokenStreamAtAnotherServer(t *testing.T) {
	inDirectWorld(t, 0, 2, func(t *testing.T, dw *directWorld, cl *directCaller) {
		broken := ""
		script := func(id string) func(wr http.ResponseWriter, rq *http.Request) {
			return func(wr http.ResponseWriter, rq *http.Request) {
				if broken == "" {
					broken = id
					breakAfter(4)(wr, rq)
					return
				}
				usual(wr, rq)
			}
		}
		for id, ba := range dw.backends {
			ba.setScript(script(id))
		}
		re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt")
		if re.status != http.StatusOK || re.body != wholeStream() || re.err != nil {
			t.Fatalf("answered %+v", re)
		}
		if got := dw.ran(); len(got) != 2 {
			t.Errorf("ran %q", got)
		}
	})
}

func TestDirectBreaksOffAStreamThatCannotGoOn(t *testing.T) {
	for name, then := range map[string]func(wr http.ResponseWriter, rq *http.Request){
		"another failure": func(wr http.ResponseWriter, rq *http.Request) {
			seal(wr, rq)
			wr.WriteHeader(http.StatusInternalServerError)
		},
		"not run":   notRun,
		"no answer": func(wr http.ResponseWriter, _ *http.Request) { raw(wr, func(*bufio.ReadWriter) {}) },
	} {
		t.Run(name, func(t *testing.T) {
			inDirectWorld(t, 0, 2, func(t *testing.T, dw *directWorld, cl *directCaller) {
				dw.all(func(wr http.ResponseWriter, rq *http.Request) {
					if rq.Header.Get(testLast) == "" {
						breakAfter(4)(wr, rq)
						return
					}
					then(wr, rq)
				})
				re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt")
				if re.err == nil {
					t.Errorf("a stream of 4 events looks complete: %+v", re)
				}
				if re.body != wholeStream()[:len(re.body)] {
					t.Errorf("the events are not whole or not in order: %q", re.body)
				}
			})
		})
	}
}

func TestDirectRunsAStreamThatMayNotResumeOnce(t *testing.T) {
	inDirectWorld(t, 0, 2, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.all(breakAfter(3))
		if re := cl.send(t.Context(), http.MethodPost, "/once/x", "a1", "prompt"); re.err == nil {
			t.Errorf("a broken stream looks complete: %+v", re)
		}
		if got := dw.ran(); len(got) != 1 {
			t.Errorf("ran %q", got)
		}
	})
}

func TestDirectTellsTheServerThatTheCallerHasGone(t *testing.T) {
	inDirectWorld(t, 0, 1, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.all(func(_ http.ResponseWriter, rq *http.Request) {
			select {
			case <-rq.Context().Done():
			case <-time.After(30 * time.Second):
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		cl.send(ctx, http.MethodPost, "/once/x", "a1", "prompt")
		time.Sleep(400 * time.Millisecond)
		if dw.backends["engine-0"].left() != 1 {
			t.Error("the server works on 0.4 s after the caller has gone")
		}
	})
}

func TestDirectAnswersWhenTheRouteTimesOut(t *testing.T) {
	inDirectWorld(t, 1, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.all(func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
		re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
		if re.status != http.StatusGatewayTimeout || re.took > 4*time.Second {
			t.Errorf("answered %d after %v", re.status, re.took)
		}
	})
}

func TestDirectSendsNothingToAServerThatLeaves(t *testing.T) {
	inDirectWorld(t, 2, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.record("plain-0", "ledger", "", true)
		time.Sleep(1200 * time.Millisecond)
		before := len(dw.backends["plain-0"].runs())
		for range 20 {
			cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
		}
		if after := len(dw.backends["plain-0"].runs()); after != before {
			t.Errorf("%d requests reached a server that leaves", after-before)
		}
	})
}

func TestDirectLeavesAServerThatWasReplaced(t *testing.T) {
	inDirectWorld(t, 2, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.backends["plain-0"].setScript(func(wr http.ResponseWriter, rq *http.Request) {
			wr.Header().Set(testServer, "plain-9")
			wr.Header().Set(testID, rq.Header.Get(testID))
			wr.WriteHeader(http.StatusMisdirectedRequest)
		})
		for range 20 {
			if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
				t.Fatalf("answered %+v", re)
			}
		}
		if got := len(dw.backends["plain-0"].runs()); got > 1 {
			t.Errorf("the replaced server was asked %d times", got)
		}
	})
}

func TestDirectStreamLeavesAFrozenHost(t *testing.T) {
	inDirectWorld(t, 0, 2, func(t *testing.T, dw *directWorld, cl *directCaller) {
		frozen := ""
		script := func(id string) func(wr http.ResponseWriter, rq *http.Request) {
			return func(wr http.ResponseWriter, rq *http.Request) {
				seal(wr, rq)
				if frozen == "" {
					frozen = id
					events(wr, rq, 3)
					dw.net.freeze(id, 8*time.Second)
					time.Sleep(8 * time.Second)
					return
				}
				events(wr, rq, streamEvents)
			}
		}
		for id, ba := range dw.backends {
			ba.setScript(script(id))
		}
		re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt")
		if re.status != http.StatusOK || re.body != wholeStream() || re.err != nil || re.took > 2500*time.Millisecond {
			t.Errorf("answered %d, %d bytes, %v after %v", re.status, len(re.body), re.err, re.took)
		}
	})
}

func TestDirectServesWhileTheLogIsAway(t *testing.T) {
	inDirectWorld(t, 1, 1, func(t *testing.T, dw *directWorld, cl *directCaller) {
		dw.source.setDown(true)
		time.Sleep(20 * time.Second)
		if re := cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "prompt"); re.status != http.StatusOK {
			t.Errorf("answered %+v", re)
		}
		dw.startEntry("entry-2")
		other := dw.newCaller("entry-2")
		defer other.client.CloseIdleConnections()
		if re := other.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
			t.Errorf("a node that starts during the outage answered %+v", re)
		}
	})
}

// The load: every host loses power while the log is away, and callers come back once.
func TestDirectTellsCallersToComeBackLaterWhileNobodyKnowsTheRoutes(t *testing.T) {
	inDirectWorld(t, 1, 0, func(t *testing.T, dw *directWorld, _ *directCaller) {
		last := len(dw.apps) - 1
		_ = dw.apps[last].Stop(t.Context())
		dw.apps = dw.apps[:last]
		dw.source.setDown(true)
		dw.startEntry("entry-2")
		cl := dw.newCaller("entry-2")
		defer cl.client.CloseIdleConnections()
		re := cl.send(t.Context(), http.MethodPost, "/safe/x", "", "")
		after, err := strconv.ParseFloat(re.header.Get("Retry-After"), 64)
		if re.status != http.StatusServiceUnavailable || err != nil || after < 3 || after > 5 {
			t.Errorf("answered %d, Retry-After %q", re.status, re.header.Get("Retry-After"))
		}
		dw.source.setDown(false)
		time.Sleep(time.Duration(after * float64(time.Second)))
		if re := cl.send(t.Context(), http.MethodPost, "/safe/x", "", ""); re.status != http.StatusOK {
			t.Errorf("answered %+v to one who came back", re)
		}
	})
}

func TestDirectRoutesNeverGoBack(t *testing.T) {
	inDirectWorld(t, 1, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		next := directTable(5)
		next.Routes = next.Routes[:1]
		dw.source.put(direct.OperatorsTopic, direct.LogRecord{Table: next.Build()})
		time.Sleep(100 * time.Millisecond)
		dw.source.put(direct.OperatorsTopic, direct.LogRecord{Table: directTable(4)})
		time.Sleep(time.Second)
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusNotFound {
			t.Errorf("a route that version 5 removed answers %d after version 4 came late", re.status)
		}
	})
}

func TestDirectNoticesAChangeThatAWaitingReadMissed(t *testing.T) {
	inDirectWorld(t, 1, 0, func(t *testing.T, dw *directWorld, cl *directCaller) {
		time.Sleep(30 * time.Second)
		next := directTable(5)
		next.Routes = next.Routes[:1]
		dw.source.putUnheard(direct.OperatorsTopic, direct.LogRecord{Table: next.Build()})
		time.Sleep(2500 * time.Millisecond)
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusNotFound {
			t.Errorf("routes that were accepted 2.5 s ago are not in force: %d", re.status)
		}
	})
}

func TestDirectReadsALogThatIsBehindItselfAtIntervals(t *testing.T) {
	inDirectWorld(t, 1, 0, func(t *testing.T, dw *directWorld, _ *directCaller) {
		dw.source.mu.Lock()
		dw.source.behind, dw.source.reads = true, 0
		dw.source.mu.Unlock()
		dw.source.put(direct.OperatorsTopic, direct.LogRecord{Table: directTable(2)})
		time.Sleep(10 * time.Second)
		dw.source.mu.Lock()
		defer dw.source.mu.Unlock()
		if dw.source.reads > 100 {
			t.Errorf("%d reads in 10 s, each is paid", dw.source.reads)
		}
	})
}

func TestDirectFinishesStreamsWhenItIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dw := newDirectWorld(t, 1, 1)
		defer dw.close()
		cl, idle := dw.newCaller("entry-1"), dw.newCaller("entry-1")
		dw.all(func(wr http.ResponseWriter, rq *http.Request) {
			seal(wr, rq)
			for number := 1; number <= streamEvents; number++ {
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
			_ = dw.apps[len(dw.apps)-1].Stop(context.Background())
			close(stopped)
		}()
		if re := <-done; re.err != nil || re.body != wholeStream() {
			t.Errorf("the stop cut a stream off: %+v", re)
		}
		<-stopped
		dw.apps = dw.apps[:len(dw.apps)-1]
	})
}

func TestDirectStopDoesNotWaitForUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dw := newDirectWorld(t, 1, 0)
		defer dw.close()
		co, err := dw.net.on("caller").DialContext(t.Context(), "tcp", "entry-1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = co.Close() }()
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		_ = dw.apps[len(dw.apps)-1].Stop(context.Background())
		dw.apps = dw.apps[:len(dw.apps)-1]
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("a stop with nothing in flight took %v of the 8 s it may take at most", took)
		}
	})
}
