package proofs

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/stand/engine"
)

const (
	ownModel  = "boot@2"
	ownPrompt = "how long"
	ownTokens = 10
)

// ownAnswer answers a request in place of the engine behind it.
type ownAnswer func(wr http.ResponseWriter, rq *http.Request, inner http.Handler)

// ownScript answers requests for completions, or those with the path, in turn at whichever backend server, and further
// ones like the server.
type ownScript struct {
	path string

	mu      sync.Mutex
	answers []ownAnswer
}

// front is what answers in front of a backend server.
func (sc *ownScript) front(_ string, inner http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if an := sc.next(rq); an != nil {
			an(wr, rq, inner)
			return
		}
		inner.ServeHTTP(wr, rq)
	})
}

// next returns the answer that is due to a request, nil for that of the server.
func (sc *ownScript) next(rq *http.Request) ownAnswer {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if rq.URL.Path != cmp.Or(sc.path, "/v1/chat/completions") || len(sc.answers) == 0 {
		return nil
	}
	an := sc.answers[0]
	sc.answers = sc.answers[1:]
	return an
}

// set sets the answers that are due from now on.
func (sc *ownScript) set(answers ...ownAnswer) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.answers = answers
}

// breakingWriter breaks its answer off after a number of flushes.
type breakingWriter struct {
	http.ResponseWriter
	left int
}

// FlushError flushes, or breaks the answer off if nothing is left.
func (bw *breakingWriter) FlushError() error {
	if bw.left == 0 {
		panic(http.ErrAbortHandler)
	}
	bw.left--
	return http.NewResponseController(bw.ResponseWriter).Flush()
}

// ownBrokenStream breaks a stream off after its head and four events.
func ownBrokenStream(wr http.ResponseWriter, rq *http.Request, inner http.Handler) {
	inner.ServeHTTP(&breakingWriter{ResponseWriter: wr, left: 5}, rq)
}

// ownRaw writes an answer to the connection, which repeats the request's ID and names its handle in place of HANDLE,
// and closes it in an orderly way.
func ownRaw(status, lines, body string) ownAnswer {
	return func(wr http.ResponseWriter, rq *http.Request, _ http.Handler) {
		data, _ := io.ReadAll(rq.Body)
		parsed := struct{ Model string }{}
		_ = json.Unmarshal(data, &parsed)
		named := strings.ReplaceAll(body, "HANDLE", parsed.Model)
		if strings.Contains(lines, "chunked") {
			named = encodeChunk(named) + lastChunk
		}
		head := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n", status, engine.RequestHeader, rq.Header.Get(engine.RequestHeader), lines)
		hijack(wr, func(bw *bufio.ReadWriter) { _, _ = bw.WriteString(head + named) })
	}
}

// ownSized returns an answer with a length; the body names no handle.
func ownSized(status, lines, body string) ownAnswer {
	return ownRaw(status, lines+fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

// end returns the last bytes of an answer.
func (re reply) end() string { return re.body[max(0, len(re.body)-200):] }

// checkOwnStream reports an answer that holds anything but the events of the stream, from its start, or that looks whole
// and is not.
func checkOwnStream(t *testing.T, re reply) {
	t.Helper()
	want := engine.ExpectedText(ownModel, ownPrompt, ownTokens)
	text, complete := re.text()
	if re.err == nil && re.status == http.StatusOK && (!complete || text != want) {
		t.Errorf("the answer looks whole but is not the stream: %q", re.end())
	}
	if !strings.HasPrefix(want, text) {
		t.Errorf("the caller got %q, which is no part of %q from its start", text, want)
	}
	if re.status == http.StatusOK && !ownEventsAreWhole(re) {
		t.Errorf("the caller got something else than events within the stream: %q", re.end())
	}
}

// ownEventsAreWhole reports whether a stream holds nothing but whole events, or the one answer is whole.
func ownEventsAreWhole(re reply) bool {
	if !strings.HasPrefix(re.header.Get("Content-Type"), "text/event-stream") {
		return json.Valid([]byte(re.body))
	}
	for block := range strings.SplitSeq(strings.TrimSuffix(re.body, "\n\n"), "\n\n") {
		data, found := strings.CutPrefix(block, "data: ")
		event := struct{ Model, Error any }{}
		isEvent := found && json.Unmarshal([]byte(data), &event) == nil && (event.Model != nil || event.Error != nil)
		if data != "[DONE]" && !isEvent {
			return false
		}
	}
	return true
}

// ownNext are answers that cannot go on with a stream that has begun.
var ownNext = map[string]ownAnswer{
	"error":                          ownSized("500 Internal Server Error", jsonLines, `{"error":"overloaded"}`),
	"error that looks like an event": ownSized("500 Internal Server Error", jsonLines, "data: overloaded\n\n"),
	"error that names its stream": ownRaw("500 Internal Server Error", streamLines,
		`data: {"model":"HANDLE","choices":[{"delta":{"content":"lost"}}]}`+"\n\ndata: [DONE]\n\n"),
	"error without a body":       ownSized("500 Internal Server Error", "", ""),
	"rejection":                  ownSized("400 Bad Request", jsonLines, `{"error":"resume_tokens"}`),
	"conflict":                   ownSized("409 Conflict", "Content-Type: text/plain\r\n", "busy\n"),
	"full":                       ownSized("503 Service Unavailable", jsonLines, `{"error":"full"}`),
	"handle not found":           ownSized("404 Not Found", jsonLines, `{"error":"no handle"}`),
	"redirect":                   ownSized("302 Found", "Location: /elsewhere\r\n", ""),
	"success that is no stream":  ownRaw("200 OK", jsonLines, `{"model":"HANDLE","choices":[{"message":{"content":"all"}}]}`),
	"success without a body":     ownSized("200 OK", jsonLines, ""),
	"no content":                 ownRaw("204 No Content", "", ""),
	"accepted":                   ownSized("202 Accepted", jsonLines, `{"queued":true}`),
	"accepted without a body":    ownSized("202 Accepted", "Content-Type: text/event-stream\r\n", ""),
	"a stream without an event":  ownRaw("200 OK", streamLines, "data: [DONE]\n\n"),
	"a stream with an error":     ownRaw("200 OK", streamLines, "data: {\"error\":\"lost\"}\n\ndata: [DONE]\n\n"),
	"a stream of another handle": ownRaw("200 OK", streamLines, "data: {\"model\":\"x\"}\n\ndata: [DONE]\n\n"),
}

// runOwnFollowing sends one request for a stream, whose sendings are answered in turn and then as usual.
func runOwnFollowing(t *testing.T, answers ...ownAnswer) (re reply) {
	t.Helper()
	sc, op := &ownScript{}, smallSimulation()
	op.front, op.engines = sc.front, 3
	runSimulation(t, op, func(_ *testing.T, sm *simulation) {
		sc.set(answers...)
		re = sm.sendChat("caller", entryName(0), ownModel, ownPrompt, ownTokens, true, 9*time.Second)
	})
	return re
}

// A stream has broken off, and the next engine answers with something else than a stream. Callers would get its text
// within their stream, or an end that is none.
func TestOwnBrokenStreamGoesOnOnlyWithAStream(t *testing.T) {
	for name, next := range ownNext {
		t.Run(name, func(t *testing.T) {
			re := runOwnFollowing(t, ownBrokenStream, next)
			checkOwnStream(t, re)
			if _, complete := re.text(); !complete {
				t.Errorf("the stream did not go on at the third engine: status %d, error %v, %q", re.status, re.err, re.end())
			}
		})
	}
}

// A stream has broken off, and no engine goes on with it. Callers must see that it is not whole.
func TestOwnBrokenStreamThatNoEngineGoesOnWithIsNotWhole(t *testing.T) {
	for name, next := range ownNext {
		t.Run(name, func(t *testing.T) {
			re := runOwnFollowing(t, ownBrokenStream, next, next, next, next)
			checkOwnStream(t, re)
			if re.err == nil {
				t.Errorf("the broken stream looks whole: status %d, %q", re.status, re.end())
			}
		})
	}
}

// An engine ends a stream before its first event. Callers would wait until their time is over, though another engine
// could answer.
func TestOwnStreamWithoutAnEventIsAskedOfAnotherEngine(t *testing.T) {
	re := runOwnFollowing(t, ownRaw("200 OK", streamLines, "data: [DONE]\n\n"))
	checkOwnStream(t, re)
	if _, complete := re.text(); !complete || re.took > 5*time.Second {
		t.Errorf("status %d after %s, error %v, %q", re.status, re.took, re.err, re.end())
	}
}
