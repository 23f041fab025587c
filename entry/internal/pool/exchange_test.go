package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

const (
	// endlessMax is how much an endless answer writes at most, so that a test ends on any code.
	endlessMax = 256 << 20
	// socketBuffersMax bounds what the sockets of a connection may hold.
	socketBuffersMax = 16 << 20
	// exchangeTimeout ends an exchange that nothing else ends.
	exchangeTimeout = 20 * time.Second
)

// answeringServer answers each connection with the given bytes, and counts those that it could write.
type answeringServer struct {
	address string
	written atomic.Int64
}

// startServer starts a server that answers the first request of each connection by write.
func startServer(t *testing.T, write func(wr io.Writer)) *answeringServer {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	as := &answeringServer{address: ls.Addr().String()}
	go func() {
		for {
			nc, err := ls.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				if _, err := nc.Read(make([]byte, 4096)); err != nil {
					return
				}
				write(writerFunc(func(data []byte) (int, error) {
					count, err := nc.Write(data)
					as.written.Add(int64(count))
					return count, err
				}))
			}()
		}
	}()
	return as
}

// writerFunc is a function that implements io.Writer.
type writerFunc func(data []byte) (int, error)

func (fn writerFunc) Write(data []byte) (int, error) { return fn(data) }

// repeat writes text again and again until an error or until endlessMax bytes.
func repeat(wr io.Writer, text string) {
	block := strings.Repeat(text, max(1, 32<<10/len(text)))
	for count := 0; count < endlessMax; count += len(block) {
		if _, err := io.WriteString(wr, block); err != nil {
			return
		}
	}
}

// exchange sends a request to a server and reads the whole answer.
func (as *answeringServer) exchange(t *testing.T, po *Pool) (*Answer, []byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
	defer cancel()
	co, err := po.Get(ctx, as.address, Want{})
	if err != nil {
		t.Fatal(err)
	}
	an, err := co.Do(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h"}, func(hd http.Header) bool { return hd.Get("Other") == "" })
	if err != nil {
		return nil, nil, err
	}
	defer an.Close()
	data, err := io.ReadAll(io.LimitReader(an.Body, socketBuffersMax))
	return an, data, err
}

// What a server sends beyond the bounds of a head, of chunk lines and of trailers ends the exchange at once,
// and does not fill the memory until the request's deadline.
func TestEndlessHeadsAreCutOffAtTheirBound(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, write := range map[string]func(wr io.Writer){
		"status line":       func(wr io.Writer) { repeat(wr, "x") },
		"status line, zero": func(wr io.Writer) { repeat(wr, "\x00") },
		"empty lines":       func(wr io.Writer) { repeat(wr, "\r\n") },
		"header line":       func(wr io.Writer) { _, _ = io.WriteString(wr, head+"A: "); repeat(wr, "a") },
		"header lines":      func(wr io.Writer) { _, _ = io.WriteString(wr, head); repeat(wr, "A: b\r\n") },
		"interim answers":   func(wr io.Writer) { repeat(wr, "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n") },
		"interim head":      func(wr io.Writer) { _, _ = io.WriteString(wr, "HTTP/1.1 103 Early Hints\r\n"); repeat(wr, "A: b\r\n") },
		"head of another answer": func(wr io.Writer) {
			_, _ = io.WriteString(wr, head+"Other: 1\r\nContent-Length: 2\r\n\r\nab"+head)
			repeat(wr, "A: b\r\n")
		},
		"chunk line": func(wr io.Writer) {
			_, _ = io.WriteString(wr, head+"Transfer-Encoding: chunked\r\n\r\n")
			repeat(wr, "0")
		},
		"chunk extension": func(wr io.Writer) {
			_, _ = io.WriteString(wr, head+"Transfer-Encoding: chunked\r\n\r\n1;")
			repeat(wr, "a")
		},
		"chunk extensions": func(wr io.Writer) {
			_, _ = io.WriteString(wr, head+"Transfer-Encoding: chunked\r\n\r\n")
			repeat(wr, "1;"+strings.Repeat("a", 2000)+"\r\nx\r\n")
		},
		"trailer": func(wr io.Writer) {
			_, _ = io.WriteString(wr, head+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")
			repeat(wr, "A: b\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			as := startServer(t, write)
			_, data, err := as.exchange(t, New(&net.Dialer{}, 0))
			if err == nil {
				t.Errorf("an endless answer is whole, with %d bytes", len(data))
			}
			if written := as.written.Load(); written > socketBuffersMax {
				t.Errorf("the server could write %d MiB", written>>20)
			}
		})
	}
}

// An answer whose length is open to more than one reading must not be read as one of them.
func TestAnswersWithAnAmbiguousHeadAreInvalid(t *testing.T) {
	for name, head := range map[string]string{
		"no status":            "OK 200\r\n\r\n",
		"no number":            "HTTP/1.1 two OK\r\n\r\n",
		"negative status":      "HTTP/1.1 -20 OK\r\nContent-Length: 0\r\n\r\n",
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
		"list of two lengths":  "HTTP/1.1 200 OK\r\nContent-Length: 3, 2\r\n\r\nabc",
		"length beside chunks": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"chunks beside length": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-LENGTH: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"no number as length":  "HTTP/1.1 200 OK\r\nContent-Length: abc\r\n\r\nabc",
		"sign in the length":   "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
		"negative length":      "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
		"unknown encoding":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
		"folded header":        "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 3\r\n\r\nabc",
		"folded length":        "HTTP/1.1 200 OK\r\nContent-Length:\r\n 3\r\n\r\nabc",
		"space before a colon": "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc",
		"no colon":             "HTTP/1.1 200 OK\r\nContent-Length 3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			as := startServer(t, func(wr io.Writer) { _, _ = io.WriteString(wr, head) })
			if an, data, err := as.exchange(t, New(&net.Dialer{}, 0)); err == nil {
				t.Errorf("status %d, body %q", an.Status, data)
			}
		})
	}
}

// An answer with an invalid status must not be skipped like an interim one: its body would be read as the next head.
func TestAnswersWithAnInvalidStatusAreInvalid(t *testing.T) {
	for _, answer := range fakes.Invalid("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ntrouble") {
		as := startServer(t, func(wr io.Writer) { _, _ = io.WriteString(wr, answer) })
		if an, data, err := as.exchange(t, New(&net.Dialer{}, 0)); err == nil {
			t.Errorf("%q: status %d, body %q", answer, an.Status, data)
		}
	}
}
