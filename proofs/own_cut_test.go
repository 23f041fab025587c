package proofs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/stand/engine"
)

// ownCutTokens is the length of the answers that are cut at each byte.
const ownCutTokens = 3

// ownFraming returns the header lines and the bytes of a body.
type ownFraming func(body string) (lines, framed string)

// Framings of answers.
func ownWithLength(body string) (string, string) {
	return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
}
func ownUntilClose(body string) (string, string) { return "", body }

// ownChunked sends each event, or an answer without events, as a chunk.
func ownChunked(body string) (string, string) {
	framed := strings.Builder{}
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if event != "" {
			framed.WriteString(encodeChunk(event))
		}
	}
	return "Transfer-Encoding: chunked\r\n", framed.String() + lastChunk
}

// ownCut writes the first bytes of the backend server's answer and closes the connection in an orderly way. It sets
// length to that of the whole answer.
func ownCut(framing ownFraming, cut int, length *int) ownAnswer {
	return func(wr http.ResponseWriter, rq *http.Request, inner http.Handler) {
		rec := httptest.NewRecorder()
		inner.ServeHTTP(rec, rq)
		lines, framed := framing(rec.Body.String())
		head := strings.Builder{}
		_ = rec.Header().Write(&head)
		whole := fmt.Sprintf("HTTP/1.1 %d Whole\r\n%s%s\r\n%s", rec.Code, head.String(), lines, framed)
		*length = len(whole)
		hijack(wr, func(bw *bufio.ReadWriter) { _, _ = bw.WriteString(whole[:min(cut, len(whole))]) })
	}
}

// An engine goes away at any byte of its answer, and its connection ends in an orderly way. Callers would get a part of
// an event, or a short answer that is framed as whole.
func TestOwnAnswerCutAtAnyByteIsNotTakenForWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		stream  bool
		framing ownFraming
	}{
		"stream in chunks":           {true, ownChunked},
		"stream until the close":     {true, ownUntilClose},
		"stream with a length":       {true, ownWithLength},
		"answer in chunks":           {false, ownChunked},
		"answer until the close":     {false, ownUntilClose},
		"answer with a known length": {false, ownWithLength},
	} {
		t.Run(name, func(t *testing.T) {
			sc, op := &ownScript{}, smallSimulation()
			op.front, op.retryPercent = sc.front, 100
			runSimulation(t, op, func(t *testing.T, sm *simulation) {
				wrong, length := 0, 1
				for cut := 0; cut <= length; cut++ {
					// A whole answer beside each broken one keeps the engine in use.
					mustAnswer(t, sm.sendChat("caller", entryName(0), ownModel, ownPrompt, 1, false, 9*time.Second), ownModel, ownPrompt, 1)
					sc.set(ownCut(tc.framing, cut, &length))
					re := sm.sendChat("caller", entryName(0), ownModel, ownPrompt, ownCutTokens, tc.stream, 9*time.Second)
					text, complete := re.text()
					if want := engine.ExpectedText(ownModel, ownPrompt, ownCutTokens); complete && text == want && ownEventsAreWhole(re) {
						continue
					}
					if wrong++; wrong <= 3 {
						t.Errorf("cut at byte %d: status %d, error %v, %q", cut, re.status, re.err, re.body)
					}
				}
				if wrong > 0 {
					t.Errorf("%d of %d cut answers are not delivered as they are", wrong, length+1)
				}
			})
		})
	}
}

// A service goes away at any byte of the answer to a call that must not be repeated. Callers would get an empty or short
// answer, framed as whole, and the same one each time that they ask again.
func TestOwnCallWhoseAnswerIsCutAtAnyByteIsNotTakenForAnswered(t *testing.T) {
	for name, framing := range map[string]ownFraming{"in chunks": ownChunked, "with a known length": ownWithLength} {
		t.Run(name, func(t *testing.T) {
			sc, op := &ownScript{path: "/releases"}, smallSimulation()
			op.front, op.engines = sc.front, 1
			runSimulation(t, op, func(t *testing.T, sm *simulation) {
				length := 1
				for cut := 0; cut <= length; cut++ {
					sc.set(ownCut(framing, cut, &length))
					key := newIdempotencyKey()
					for range 2 {
						re := sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 5*time.Second)
						if whole := json.Valid([]byte(re.body)); re.err != nil || !whole || (re.status == http.StatusCreated) != (cut == length) {
							t.Fatalf("cut at byte %d of %d: status %d, error %v, %q", cut, length, re.status, re.err, re.body)
						}
					}
					// A whole answer beside each broken one keeps the service in use.
					if re := sm.postRelease("caller", entryName(0), newIdempotencyKey(), "{}", 5*time.Second); re.status != http.StatusCreated {
						t.Fatalf("a sound call: status %d, error %v, %q", re.status, re.err, re.body)
					}
				}
			})
		})
	}
}
