package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longAnswerBytes is more than an entry node buffers of an answer.
const longAnswerBytes = 17 << 20

func TestDirectDeliversLongAnswersWhole(t *testing.T) {
	for name, stated := range map[string]bool{"with a length": true, "without a length": false} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
					writeSealHeaders(wr, rq)
					if stated {
						wr.Header().Set("Content-Length", fmt.Sprint(longAnswerBytes))
					}
					_, _ = io.WriteString(wr, strings.Repeat("x", longAnswerBytes))
				})
				if re := cl.send(t.Context(), http.MethodGet, "/safe/x", "", ""); re.status != http.StatusOK || re.err != nil || len(re.body) != longAnswerBytes {
					t.Errorf("status %d with %d bytes, error %v, want %d bytes", re.status, len(re.body), re.err, longAnswerBytes)
				}
			})
		})
	}
}

func TestDirectBrokenLongAnswerDoesNotLookComplete(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			id := rq.Header.Get(headerID)
			hijack(wr, func(bw *bufio.ReadWriter) {
				_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n", headerID, id, headerSeal, longAnswerBytes)
				_, _ = bw.WriteString(strings.Repeat("x", longAnswerBytes-1))
			})
		})
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.err == nil {
			t.Errorf("status %d with %d bytes looks complete, but the server's answer was cut", re.status, len(re.body))
		}
		if got := len(ds.allRequests()); got != 1 {
			t.Errorf("the server received %d requests, want one", got)
		}
	})
}

// The rest of a skipped answer must not be read as the head of the next one.
func TestDirectSkipsNoPartOfALongAnswerToAnotherRequest(t *testing.T) {
	const foreignBytes = 3 << 20
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			id := rq.Header.Get(headerID)
			hijack(wr, func(bw *bufio.ReadWriter) {
				body := strings.Repeat("x", 1<<20) + fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: 4\r\n\r\nfake", headerID, id, headerSeal)
				body += strings.Repeat("x", foreignBytes-len(body))
				_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: %d\r\n\r\n%s", headerID, foreignBytes, body)
			})
		})
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.err == nil && re.status == http.StatusOK {
			t.Errorf("the caller got %q, which is a part of an answer to another request", re.body)
		}
	})
}

// Of a discarded answer only a part is read; the connection must not be used again.
func TestDirectDiscardsLongAnswerWithItsConnection(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			if len(ds.allRequests()) == 1 {
				wr.Header().Set(headerNotRun, "1")
				wr.Header().Set(headerID, rq.Header.Get(headerID))
				wr.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(wr, strings.Repeat("x", 1<<20))
				return
			}
			defaultAnswer(wr, rq)
		})
		for range 3 {
			if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK || re.body != "the whole answer" {
				t.Errorf("unexpected response %+v", re)
			}
		}
	})
}

// All connections between the entry node and the servers are reset in the middle of calls that must
// not be repeated. Each call runs at most once, and no answer says that it has not run.
func TestDirectSaysThatAResetCallMayHaveRun(t *testing.T) {
	const callCount = 12
	runDirectSimulation(t, 3, 0, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(300 * time.Millisecond)
			defaultAnswer(wr, rq)
		})
		replies := make(chan directReply)
		for number := range callCount {
			go func() {
				time.Sleep(time.Duration(number) * 40 * time.Millisecond)
				cl := ds.newCaller("entry-1")
				defer cl.client.CloseIdleConnections()
				cl.count = 100 * number
				replies <- cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
			}()
		}
		time.Sleep(400 * time.Millisecond)
		for id := range ds.backends {
			ds.net.cut("entry-1", id)
		}
		unknown := 0
		for range callCount {
			re := <-replies
			switch {
			case re.status == http.StatusOK && re.err == nil:
			case re.status == http.StatusBadGateway && strings.Contains(re.body, `"outcome":"unknown"`):
				unknown++
			default:
				t.Errorf("unexpected response %+v to a call whose connection was reset", re)
			}
		}
		if unknown == 0 {
			t.Error("no call was reset")
		}
		runs := map[string]int{}
		for _, rq := range ds.allRequests() {
			id, _, _ := strings.Cut(rq, " ")
			runs[id]++
		}
		for id, count := range runs {
			if count != 1 {
				t.Errorf("call %s reached servers %d times, want once", id, count)
			}
		}
	})
}

// writeUnframed writes an answer to a request that ends with its connection, and breaks it off by a reset
// if whole is false.
func (ds *directSimulation) writeUnframed(wr http.ResponseWriter, rq *http.Request, server, body string, whole bool) {
	head := answerHead(rq, "200 OK", "")
	if rq.Header.Get(headerAdapter) != "" {
		head = answerHead(rq, "200 OK", "Content-Type: text/event-stream\r\n")
	}
	if whole {
		hijack(wr, func(bw *bufio.ReadWriter) { _, _ = bw.WriteString(head + body) })
		return
	}
	hijack(wr, func(bw *bufio.ReadWriter) {
		_, _ = bw.WriteString(head + body)
		_ = bw.Flush()
		time.Sleep(10 * time.Millisecond)
		ds.net.cut("entry-1", server)
	})
}

// An answer may have neither a length nor chunks and end with its connection. It is whole after an orderly
// end and reaches the caller with a length or chunks; after a reset, or an end inside an event, it is not.
func TestDirectAnswersThatEndWithTheirConnection(t *testing.T) {
	events := completeStream()
	for name, tc := range map[string]struct {
		target, adapter, body string
		whole                 bool
		// want is the body that the caller must get, empty if the answer must not look whole.
		want string
	}{
		"body":                                {target: "/safe/x", body: "the body", whole: true, want: "the body"},
		"empty body":                          {target: "/unsafe/x", whole: true},
		"long body":                           {target: "/unsafe/x", body: strings.Repeat("x", 3<<20), whole: true, want: strings.Repeat("x", 3<<20)},
		"body, reset":                         {target: "/unsafe/x", body: "the body"},
		"long body, reset":                    {target: "/unsafe/x", body: strings.Repeat("x", 3<<20)},
		"stream":                              {target: "/once/x", adapter: "a1", body: events, whole: true, want: events},
		"stream, end inside an event":         {target: "/once/x", adapter: "a1", body: events + "id: 11\nda", whole: true},
		"stream, end before a blank line":     {target: "/once/x", adapter: "a1", body: strings.TrimSuffix(events, "\n"), whole: true},
		"stream, reset":                       {target: "/once/x", adapter: "a1", body: events},
		"stream resumed after half event":     {target: "/stream/x", adapter: "a1", body: events[:len(events)/2], whole: true, want: events},
		"stream resumed after a reset":        {target: "/stream/x", adapter: "a1", body: events[:len(events)/2], want: events},
		"repeated body, reset the first time": {target: "/safe/x", body: "the whole", want: "the whole answer"},
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 2, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				answered := 0
				for id, ba := range ds.backends {
					ba.setScript(func(wr http.ResponseWriter, rq *http.Request) {
						answered++
						if answered > 1 {
							defaultAnswer(wr, rq)
							return
						}
						ds.writeUnframed(wr, rq, id, tc.body, tc.whole)
					})
				}
				re := cl.send(t.Context(), http.MethodPost, tc.target, tc.adapter, "body")
				looksWhole := re.err == nil && re.status == http.StatusOK
				switch {
				case tc.want == "" && tc.body != "" && looksWhole:
					t.Errorf("a broken answer looks whole: %.60q", re.body)
				case tc.want != "" && (!looksWhole || re.body != tc.want):
					t.Errorf("status %d, error %v, %d bytes %.60q, want %d", re.status, re.err, len(re.body), re.body, len(tc.want))
				}
				// The next request on the same connections gets its own answer.
				if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK || re.body != "the whole answer" {
					t.Errorf("the next request got %+v", re)
				}
			})
		})
	}
}
