package pool

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// replayConn is a connection on which a server has sent an answer and then closed or reset it.
type replayConn struct {
	net.Conn
	answer io.Reader
	// end is the error at the end of the answer.
	end error
}

func (rc *replayConn) Read(buf []byte) (int, error) {
	count, err := rc.answer.Read(buf)
	if err != nil {
		return count, rc.end
	}
	return count, nil
}

func (rc *replayConn) Write(data []byte) (int, error) { return len(data), nil }

func (rc *replayConn) Close() error { return nil }

// replayDialer opens one replayConn.
type replayDialer struct {
	co net.Conn
}

func (rd replayDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return rd.co, nil
}

// replay reads the answer to a request from bytes that a server sent before the connection ended.
func replay(tb testing.TB, answer []byte, end error) (an *Answer, body []byte, err error) {
	tb.Helper()
	po := New(replayDialer{co: &replayConn{answer: bytes.NewReader(answer), end: end}}, 0)
	co, err := po.Get(tb.Context(), "server", Want{})
	if err != nil {
		tb.Fatal(err)
	}
	an, err = co.Do(tb.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h"}, func(hd http.Header) bool { return hd.Get("Other") == "" })
	if err != nil {
		return nil, nil, err
	}
	defer an.Close()
	body, err = io.ReadAll(an.Body)
	if len(po.idle["server"]) > 0 {
		tb.Errorf("a connection that has ended is kept, answer %q", answer)
	}
	return an, body, err
}

// Ways to tell where an answer ends.
const (
	byLength = iota
	byChunks
	byConnection
	framings
)

// encodeAnswer encodes an answer with a framing, after interim answers.
func encodeAnswer(framing, interim int, body string) string {
	head := strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", interim) + "HTTP/1.1 200 OK\r\nA: b\r\n"
	switch framing {
	case byLength:
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	case byChunks:
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		for len(body) > 0 {
			part := body[:min(len(body), 7)]
			body = body[len(part):]
			text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		return text + "0\r\nTrailer: x\r\n\r\n"
	}
	return head + "\r\n" + body
}

// Any cut of an answer at any byte must be reported as broken off, or the answer as whole and equal. Only
// an answer that ends with its connection may be cut in its body by an orderly close without a sign.
func TestCutAnswersAreBrokenOffAndWholeOnesAreEqual(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("broken off or equal", prop.ForAll(func(framing, interim int, body string, cut int, reset bool) string {
		answer := encodeAnswer(framing, interim, body)
		cut = min(cut, len(answer))
		end := io.EOF
		if reset {
			end = syscall.ECONNRESET
		}
		_, got, err := replay(t, []byte(answer[:cut]), end)
		whole := cut == len(answer) && (framing != byConnection || !reset)
		untold := framing == byConnection && !reset && cut >= len(answer)-len(body)
		switch {
		case whole && (err != nil || string(got) != body):
			return fmt.Sprintf("whole answer: %q, %v", got, err)
		case untold && (err != nil || string(got) != body[:cut-(len(answer)-len(body))]):
			return fmt.Sprintf("answer until the orderly end of its connection: %q, %v", got, err)
		case !whole && !untold && err == nil:
			return fmt.Sprintf("cut at %d of %d but whole: %q", cut, len(answer), got)
		}
		return ""
	}, gen.IntRange(0, framings-1), gen.IntRange(0, maxSkippedAnswers), gen.AlphaString(), gen.IntRange(0, 300), gen.Bool()))
	properties.TestingRun(t)
}

// An answer that ends with its connection leaves none to be used again, not even if the server keeps it open.
func TestConnectionThatEndsAnAnswerIsNotUsedAgain(t *testing.T) {
	as := startServer(t, func(wr io.Writer) { _, _ = io.WriteString(wr, encodeAnswer(byConnection, 0, "body")) })
	po := New(&net.Dialer{}, 0)
	for range 2 {
		an, body, err := as.exchange(t, po)
		if err != nil || string(body) != "body" || an.co.Reused {
			t.Errorf("body %q, error %v, used again: %v", body, err, an != nil && an.co.Reused)
		}
	}
}

// An answer to another request that ends with its connection leaves nothing to read the own one from.
func TestAnswerToAnotherRequestThatEndsWithItsConnectionEndsTheExchange(t *testing.T) {
	as := startServer(t, func(wr io.Writer) {
		_, _ = io.WriteString(wr, "HTTP/1.1 200 OK\r\nOther: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		time.Sleep(deliveryTime)
	})
	if _, body, err := as.exchange(t, New(&net.Dialer{}, 0)); err == nil {
		t.Errorf("body %q", body)
	}
}

// Whatever a server sends, an exchange ends, and reports no more bytes than were sent.
func FuzzAnswer(fu *testing.F) {
	for framing := range framings {
		fu.Add([]byte(encodeAnswer(framing, 1, "the body")))
	}
	fu.Add([]byte("HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 204 No Content\r\n\r\n"))
	fu.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"))
	fu.Add([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=99999999999999999\r\nContent-Length: 0\r\n\r\n"))
	fu.Fuzz(func(t *testing.T, answer []byte) {
		an, body, err := replay(t, answer, io.EOF)
		if err == nil && (an.Status < http.StatusOK || len(body) > len(answer)) {
			t.Errorf("status %d, %d bytes from %d", an.Status, len(body), len(answer))
		}
	})
}
