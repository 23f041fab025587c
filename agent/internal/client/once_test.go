package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/wire"
)

// A request that was sent must not be sent again by the HTTP library, not even if the connection closes
// before the answer begins: it may have run.
func TestForwardSendsARequestOnceThoughItsConnectionCloses(t *testing.T) {
	for _, di := range []*wire.Dispatch{
		{Attempt: "a", Method: http.MethodPost, Path: "/closes", Key: "key-1", Body: []byte("{}")},
		{Attempt: "a", Method: http.MethodPost, Path: "/closes", Key: "key-1"},
		{Attempt: "a", Method: http.MethodGet, Path: "/closes"},
		{Attempt: "a", Method: http.MethodGet, Path: "/closes", Body: []byte("{}")},
	} {
		runs := atomic.Int64{}
		kept := atomic.Value{}
		sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			wr.Header().Set(requestIDHeader, rq.Header.Get(requestIDHeader))
			if rq.URL.Path != "/closes" {
				kept.Store(rq.RemoteAddr)
				return
			}
			runs.Add(1)
			if rq.RemoteAddr != kept.Load() {
				t.Error("the connection was not kept")
			}
			panic(http.ErrAbortHandler)
		}))
		cl := NewClient(&http.Transport{}, sv.URL)
		for range 2 {
			resp, err := cl.Forward(context.Background(), &wire.Dispatch{Attempt: "first", Method: http.MethodGet, Path: "/sound"}, "")
			if err != nil {
				t.Fatal(err)
			}
			discardBody(resp)
		}
		if resp, err := cl.Forward(context.Background(), di, ""); err == nil {
			t.Errorf("a request without an answer got the status %d", resp.StatusCode)
			discardBody(resp)
		}
		sv.Close()
		if runs.Load() != 1 {
			t.Errorf("%s with the key %q ran %d times, want once", di.Method, di.Key, runs.Load())
		}
	}
}

// serveOnce answers the first request of all with an empty answer that repeats its ID, the requests of the next
// connection with the given bytes, in order, and returns the URL.
func serveOnce(t *testing.T, answers ...string) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	go func() {
		nc, err := ls.Accept()
		if err != nil {
			return
		}
		answerNamed(nc)
		if nc, err = ls.Accept(); err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		rd := bufio.NewReader(nc)
		for _, answer := range answers {
			rq, err := http.ReadRequest(rd)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, rq.Body)
			_, _ = io.WriteString(nc, answer)
		}
		_, _ = rd.ReadByte()
	}()
	return "http://" + ls.Addr().String()
}

// answerNamed answers one request with an empty answer that repeats its ID and closes the connection.
func answerNamed(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	rq, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", requestIDHeader, rq.Header.Get(requestIDHeader))
}

// An engine rejects a request and sends the rejection once more where the next answer is due. The agent must not
// take it for the answer to the next request, which the engine runs.
func TestForwardDoesNotTakeALateAnswerForTheNextOne(t *testing.T) {
	const handle = "cure@1#boot-1"
	for name, id := range map[string]string{"with the ID of its request": requestIDHeader + ": first\r\n", "without an ID": ""} {
		t.Run(name, func(t *testing.T) {
			rejection := func(id string) string {
				return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Content-Length: 0\r\n\r\n"
			}
			first := rejection(requestIDHeader + ": first\r\n")
			own := "HTTP/1.1 200 OK\r\n" + requestIDHeader + ": second\r\nContent-Length: 0\r\n\r\n"
			cl := NewClient(&http.Transport{}, serveOnce(t, first, rejection(id)+own))
			resp, err := cl.Forward(t.Context(), &wire.Dispatch{Attempt: "named", Method: http.MethodPost, Path: "/", Body: []byte("{}")}, handle)
			if err != nil {
				t.Fatal(err)
			}
			discardBody(resp)
			resp, err = cl.Forward(t.Context(), &wire.Dispatch{Attempt: "first", Method: http.MethodPost, Path: "/", Body: []byte("{}")}, handle)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("answer %+v, error %v", resp, err)
			}
			discardBody(resp)
			resp, err = cl.Forward(t.Context(), &wire.Dispatch{Attempt: "second", Method: http.MethodPost, Path: "/", Body: []byte("{}")}, handle)
			if err == nil {
				t.Errorf("the rejection of another request was taken for the answer: status %d", resp.StatusCode)
				discardBody(resp)
			}
		})
	}
}

// serveAndClose answers the first request of each connection with the given bytes, closes it in an orderly way and
// returns the URL.
func serveAndClose(t *testing.T, answer func() string) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	go func() {
		for nc, err := ls.Accept(); err == nil; nc, err = ls.Accept() {
			if rq, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = io.Copy(io.Discard, rq.Body)
				_, _ = io.WriteString(nc, answer())
			}
			_ = nc.Close()
		}
	}()
	return "http://" + ls.Addr().String()
}

// A backend server goes away at any byte of its answer's head. The agent must not take the part for an answer without a
// body.
func TestForwardTakesNoCutHeadForAnAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 200 OK\r\nServer: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
	} {
		cut := 0
		cl := NewClient(&http.Transport{}, serveAndClose(t, func() string { return head[:cut] }))
		for ; cut <= len(head); cut++ {
			di := &wire.Dispatch{Attempt: "a", Method: http.MethodPost, Path: "/", Body: []byte("{}")}
			resp, err := cl.Forward(t.Context(), di, "")
			if (err == nil) != (cut == len(head)) {
				t.Errorf("the first %d bytes of %q: error %v", cut, head, err)
			}
			if err == nil {
				discardBody(resp)
			}
		}
	}
}

// lateServer sends the answer before once more in front of each further answer of a connection. The body of an answer is
// the ID of its request.
type lateServer struct {
	named  bool
	status string
	conns  atomic.Int64
}

// serve answers all connections and returns the URL.
func (ls *lateServer) serve(t *testing.T) string {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = li.Close() })
	go func() {
		for nc, err := li.Accept(); err == nil; nc, err = li.Accept() {
			ls.conns.Add(1)
			go ls.serveConn(nc)
		}
	}()
	return "http://" + li.Addr().String()
}

// serveConn answers the requests of a connection.
func (ls *lateServer) serveConn(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	rd, before := bufio.NewReader(nc), ""
	for rq, err := http.ReadRequest(rd); err == nil; rq, err = http.ReadRequest(rd) {
		_, _ = io.Copy(io.Discard, rq.Body)
		own := ls.answer(rq.Header.Get(requestIDHeader))
		if _, err := io.WriteString(nc, before+own); err != nil || rq.Close {
			return
		}
		before = own
	}
}

// answer returns the answer to the request with an ID.
func (ls *lateServer) answer(id string) string {
	line := ""
	if ls.named {
		line = requestIDHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", ls.status, line, len(id), id)
}

// A backend server sends each answer once more where the next one of its connection is due. No request must get the
// answer to another one, and a server that does not repeat IDs must not lose its answers for that.
func TestForwardGivesNoRequestTheAnswerOfAnEarlierOne(t *testing.T) {
	for name, handle := range map[string]string{"service": "", "engine": "cure@1#boot-1"} {
		for _, ls := range []*lateServer{{true, "200 OK", atomic.Int64{}}, {true, "503 Full", atomic.Int64{}}, {false, "200 OK", atomic.Int64{}}, {false, "503 Full", atomic.Int64{}}} {
			t.Run(fmt.Sprintf("%s, %s, named %t", name, ls.status, ls.named), func(t *testing.T) {
				cl := NewClient(&http.Transport{}, ls.serve(t))
				for number := range 6 {
					di := &wire.Dispatch{Attempt: fmt.Sprint("attempt-", number), Method: http.MethodPost, Path: "/", Body: []byte("{}")}
					resp, err := cl.Forward(t.Context(), di, handle)
					if errors.Is(err, ErrOtherAnswer) && ls.named {
						continue
					}
					if err != nil {
						t.Fatal(err)
					}
					data, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err != nil || string(data) != di.Attempt {
						t.Errorf("%s got the answer to %q, error %v", di.Attempt, data, err)
					}
				}
			})
		}
	}
}

// Only the connections of a server that repeats IDs can be kept, and they must be.
func TestForwardKeepsTheConnectionsOfAServerThatRepeatsIDs(t *testing.T) {
	for named, want := range map[bool]int{true: 2, false: 20} {
		conns := sync.Map{}
		sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			conns.Store(rq.RemoteAddr, true)
			if named {
				wr.Header().Set(requestIDHeader, rq.Header.Get(requestIDHeader))
			}
		}))
		cl := NewClient(&http.Transport{}, sv.URL)
		for number := range 20 {
			resp, err := cl.Forward(t.Context(), &wire.Dispatch{Attempt: fmt.Sprint("attempt-", number), Method: http.MethodGet, Path: "/"}, "")
			if err != nil {
				t.Fatal(err)
			}
			discardBody(resp)
		}
		sv.Close()
		count := 0
		conns.Range(func(any, any) bool { count++; return true })
		if count != want {
			t.Errorf("IDs repeated %t: 20 requests took %d connections, want %d", named, count, want)
		}
	}
}
