package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

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
		sv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) {
			if rq.URL.Path != "/closes" {
				return
			}
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}))
		cl := NewClient(&http.Client{Transport: &http.Transport{}}, sv.URL)
		resp, err := cl.Forward(context.Background(), &wire.Dispatch{Attempt: "first", Method: http.MethodGet, Path: "/sound"}, "")
		if err != nil {
			t.Fatal(err)
		}
		discardBody(resp)
		if resp, err = cl.Forward(context.Background(), di, ""); err == nil {
			t.Errorf("a request without an answer got the status %d", resp.StatusCode)
			discardBody(resp)
		}
		sv.Close()
		if runs.Load() != 1 {
			t.Errorf("%s with the key %q ran %d times, want once", di.Method, di.Key, runs.Load())
		}
	}
}

// serveOnce answers the requests of one connection with the given bytes, in order, and returns the URL.
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

// An engine rejects a request and sends the rejection once more where the next answer is due. The agent must not
// take it for the answer to the next request, which the engine runs.
func TestForwardDoesNotTakeALateAnswerForTheNextOne(t *testing.T) {
	const handle = "cure@1#boot-1"
	for name, id := range map[string]string{"with the ID of its request": requestIDHeader + ": first\r\n", "without an ID": ""} {
		t.Run(name, func(t *testing.T) {
			rejection := "HTTP/1.1 503 Service Unavailable\r\n" + id + "Content-Length: 0\r\n\r\n"
			own := "HTTP/1.1 200 OK\r\n" + requestIDHeader + ": second\r\nContent-Length: 0\r\n\r\n"
			cl := NewClient(&http.Client{Transport: &http.Transport{}}, serveOnce(t, rejection, rejection+own))
			resp, err := cl.Forward(t.Context(), &wire.Dispatch{Attempt: "first", Method: http.MethodPost, Path: "/", Body: []byte("{}")}, handle)
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
		cl := NewClient(&http.Client{Transport: &http.Transport{}}, serveAndClose(t, func() string { return head[:cut] }))
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
