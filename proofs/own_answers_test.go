package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/stand/engine"
)

// lateAnswers sends each answer of a backend server once more in front of the next one of its connection. The first
// call is refused if rejects is set, and IDs are repeated if named is.
type lateAnswers struct {
	named   bool
	rejects bool
}

// front is what answers in front of a backend server.
func (la *lateAnswers) front(name string, inner http.Handler) http.Handler {
	if name != "ledger-backend" {
		return inner
	}
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		first := la.answer(inner, rq)
		co, bw, err := http.NewResponseController(wr).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = co.Close() }()
		la.serve(inner, bw, first, rq.Close)
	})
}

// serve answers the requests of a connection after its first one.
func (la *lateAnswers) serve(inner http.Handler, bw *bufio.ReadWriter, first string, last bool) {
	text, before := first, first
	for {
		_, _ = bw.WriteString(text)
		if bw.Flush() != nil || last {
			return
		}
		rq, err := http.ReadRequest(bw.Reader)
		if err != nil {
			return
		}
		own := la.answer(inner, rq)
		text, before, last = before+own, own, rq.Close
	}
}

// answer runs a request and returns the answer.
func (la *lateAnswers) answer(inner http.Handler, rq *http.Request) string {
	rec := httptest.NewRecorder()
	if data, _ := io.ReadAll(rq.Body); la.rejects && strings.Contains(string(data), "refused") {
		rec.Code = http.StatusServiceUnavailable
	} else {
		rq.Body = io.NopCloser(strings.NewReader(string(data)))
		inner.ServeHTTP(rec, rq)
	}
	line := ""
	if la.named {
		line = fmt.Sprintf("%s: %s\r\n", engine.RequestHeader, rq.Header.Get(engine.RequestHeader))
	}
	return fmt.Sprintf("HTTP/1.1 %d Late\r\n%sContent-Length: %d\r\n\r\n%s", rec.Code, line, rec.Body.Len(), rec.Body.String())
}

// A service sends each answer once more where the next one of its connection is due. Callers would get the answer of
// another call, stored for good, or be told that a call was refused that has run.
func TestOwnCallsGetNoAnswerOfAnEarlierCall(t *testing.T) {
	for _, la := range []*lateAnswers{{false, false}, {false, true}, {true, false}, {true, true}} {
		t.Run(fmt.Sprintf("IDs repeated %t, first call refused %t", la.named, la.rejects), func(t *testing.T) {
			op := smallSimulation()
			op.front, op.engines = la.front, 1
			runSimulation(t, op, func(t *testing.T, sm *simulation) {
				wrong := 0
				for number := range 10 {
					body, key := fmt.Sprintf(`{"batch":%d}`, number), newIdempotencyKey()
					if number%2 == 0 && la.rejects {
						body = fmt.Sprintf(`{"refused":%d}`, number)
					}
					for range 2 {
						re := sm.postRelease("caller", entryName(0), key, body, 5*time.Second)
						if !la.allows(re, body) {
							wrong++
							t.Errorf("the call with %s, which ran %d times, got status %d, %q, error %v", body, sm.recordedRuns(body), re.status, re.body, re.err)
						}
					}
					if runs := sm.recordedRuns(body); runs > 1 {
						t.Errorf("the call with %s ran %d times", body, runs)
					}
				}
				if wrong > 0 {
					t.Errorf("%d of 20 answers are wrong", wrong)
				}
			})
		})
	}
}

// allows reports whether an answer is that of the call with a body. Where IDs show that an answer is another call's, the
// caller may learn that the outcome is unknown.
func (la *lateAnswers) allows(re reply, body string) bool {
	switch {
	case re.err == nil && la.named && re.outcome == "unknown":
		return true
	case strings.Contains(body, "refused"):
		return re.err == nil && re.status == http.StatusServiceUnavailable
	}
	return re.err == nil && re.status == http.StatusCreated && strings.Contains(re.body, strings.ReplaceAll(body, `"`, `\"`))
}
