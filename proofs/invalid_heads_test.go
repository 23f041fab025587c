package proofs

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
	"github.com/bambooladder/bambooladder/stand/engine"
)

// answeredOK reports whether a caller got a success, or what looks like one.
func answeredOK(status int, err error) bool {
	return err == nil && (status < http.StatusBadRequest || status > 599)
}

// checkOwnHead sends a call that must not be repeated, and chats. Each gets an invalid head once. It reports what callers must not get.
func checkOwnHead(t *testing.T, status, lines string) {
	t.Helper()
	for name, body := range map[string]string{"whole": `{"text":"trouble"}`, "an answer within": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ntrouble", "empty": ""} {
		sc, op := &ownScript{path: "/releases"}, smallSimulation()
		op.front, op.engines = sc.front, 1
		answer := ownRaw(status, lines, body)
		if !strings.Contains(lines, "Length") {
			answer = ownSized(status, lines, body)
		}
		runSimulation(t, op, func(t *testing.T, sm *simulation) {
			sc.set(answer)
			key := newIdempotencyKey()
			for range 2 {
				re := sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 5*time.Second)
				if answeredOK(re.status, re.err) || strings.Contains(re.body, "trouble") {
					t.Errorf("body %s, a call: status %d, %q, error %v", name, re.status, re.body, re.err)
				}
			}
			if re := sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":2}`, 5*time.Second); re.status != http.StatusCreated {
				t.Errorf("the next call: status %d, error %v, %q", re.status, re.err, re.body)
			}
		})
	}
	for _, stream := range []bool{false, true} {
		sc, op := &ownScript{}, smallSimulation()
		op.front, op.retryPercent = sc.front, 100
		runSimulation(t, op, func(t *testing.T, sm *simulation) {
			text := `{"model":"HANDLE","choices":[{"message":{"content":"trouble"}}]}`
			if stream {
				text = "data: " + `{"model":"HANDLE","choices":[{"delta":{"content":"trouble"}}]}` + "\n\ndata: [DONE]\n\n"
			}
			sc.set(ownRaw(status, "Content-Type: "+map[bool]string{false: "application/json", true: "text/event-stream"}[stream]+"\r\n"+lines, text))
			re := sm.sendChat("caller", entryName(0), ownModel, ownPrompt, ownCutTokens, stream, 9*time.Second)
			got, complete := re.text()
			whole := complete && got == engine.ExpectedText(ownModel, ownPrompt, ownCutTokens)
			if answeredOK(re.status, re.err) && !whole || strings.Contains(re.body, "trouble") {
				t.Errorf("a chat, stream %t: status %d, %q, error %v", stream, re.status, re.body, re.err)
			}
		})
	}
}

// A backend server sends an invalid status. The caller must not get the answer, nor the default status in place of it.
func TestOwnAnswerWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range fakes.InvalidStatuses() {
		t.Run(status, func(t *testing.T) { checkOwnHead(t, status, "") })
	}
}

// A backend server sends an invalid field name. If it is that of the length or of chunks, the library takes another body for the answer.
func TestOwnAnswerWithAnInvalidNameIsNotPassedOn(t *testing.T) {
	for _, line := range fakes.InvalidNames() {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) { checkOwnHead(t, "200 OK", "Server: s\r\n"+line+"\r\nVia: v\r\n") })
	}
}

// ownText writes a response to a connection, with the request's ID in place of ID.
func ownText(response string) ownAnswer {
	return func(wr http.ResponseWriter, rq *http.Request, _ http.Handler) {
		hijack(wr, func(bw *bufio.ReadWriter) {
			_, _ = bw.WriteString(strings.ReplaceAll(response, "ID", rq.Header.Get(engine.RequestHeader)))
		})
	}
}

// checkOwnResponse sends a call, and again, to a service that sends a response once, and reports whether the caller gets it.
func checkOwnResponse(t *testing.T, response string) {
	t.Helper()
	sc, op := &ownScript{path: "/releases"}, smallSimulation()
	op.front, op.engines = sc.front, 1
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		sc.set(ownText(response))
		key := newIdempotencyKey()
		for range 2 {
			re := sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 5*time.Second)
			if answeredOK(re.status, re.err) || strings.Contains(re.body, "trouble") {
				t.Errorf("%q: status %d, %q, error %v", response, re.status, re.body, re.err)
			}
		}
	})
}

// checkDirectResponse sends a call to servers that send a response, and reports whether the caller gets it.
func checkDirectResponse(t *testing.T, response string) {
	t.Helper()
	runDirectSimulation(t, 2, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(writeRaw(func(*http.Request) string { return response }))
		re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "body")
		if answeredOK(re.status, re.err) || strings.Contains(re.body, "trouble") {
			t.Errorf("%q: status %d, %q, error %v", response, re.status, re.body, re.err)
		}
	})
}

// Header lines of responses to the first request.
const (
	ownLines    = engine.RequestHeader + ": ID\r\n"
	directLines = headerID + ": id-1\r\n" + headerSeal + ": yes\r\n"
)

// A service sends a head that can be read in more than one way. The caller must not get what one of the readers makes of it, nor may
// a repetition of the call.
func TestOwnAnswerWithAnAmbiguousHeadIsNotPassedOn(t *testing.T) {
	for number, response := range fakes.Ambiguous(ownLines, "trouble") {
		t.Run(fmt.Sprint(number), func(t *testing.T) { checkOwnResponse(t, response) })
	}
}

func TestDirectAnswerWithAnAmbiguousHeadIsNotPassedOn(t *testing.T) {
	for number, response := range fakes.Ambiguous(directLines, "trouble") {
		t.Run(fmt.Sprint(number), func(t *testing.T) { checkDirectResponse(t, response) })
	}
}

// trailerResponse returns a response in chunks with a trailer line whose name has a blank.
func trailerResponse(lines string) string {
	return "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n7\r\ntrouble\r\n0\r\nX-Trailer : 1\r\n\r\n"
}

// A trailer with an invalid name ends a response that must not be taken for whole.
func TestOwnAnswerWithAnInvalidTrailerIsNotWhole(t *testing.T) {
	checkOwnResponse(t, trailerResponse(ownLines))
}

func TestDirectAnswerWithAnInvalidTrailerIsNotWhole(t *testing.T) {
	checkDirectResponse(t, trailerResponse(directLines))
}

// checkDirectHead sends requests of each kind, which get an invalid head, and reports answers that callers must not get, or get late.
func checkDirectHead(t *testing.T, status, lines string) {
	t.Helper()
	for target, adapter := range map[string]string{"/safe/x": "", "/unsafe/x": "", "/once/x": "a1", "/stream/x": "a1"} {
		for name, body := range map[string]string{"whole": "trouble", "an answer within": "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nT-Seal: yes\r\nContent-Length: 7\r\n\r\ntrouble", "events": "id: 1\ndata: trouble\n\n", "empty": ""} {
			runDirectSimulation(t, 2, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.setAllScripts(writeRaw(func(rq *http.Request) string {
					if len(ds.allRequests()) > 1 {
						return answerHead(rq, "500 Sound", "Content-Length: 0\r\n")
					}
					if strings.Contains(lines, "Length") || strings.Contains(lines, "Encoding") {
						return answerHead(rq, status, lines) + body
					}
					return answerHead(rq, status, fmt.Sprintf("Content-Length: %d\r\n", len(body))+lines) + body
				}))
				re := cl.send(t.Context(), http.MethodPost, target, adapter, "body")
				if answeredOK(re.status, re.err) || strings.Contains(re.body, "trouble") {
					t.Errorf("%s, body %s: status %d, %q, error %v", target, name, re.status, re.body, re.err)
				}
				if re.took > time.Second {
					t.Errorf("%s, body %s: status %d after %v", target, name, re.status, re.took)
				}
			})
		}
	}
}

func TestDirectAnswerWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range fakes.InvalidStatuses() {
		t.Run(status, func(t *testing.T) { checkDirectHead(t, status, "") })
	}
}

func TestDirectAnswerWithAnInvalidNameIsNotPassedOn(t *testing.T) {
	for _, line := range fakes.InvalidNames() {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) { checkDirectHead(t, "200 OK", "Server: s\r\n"+line+"\r\nVia: v\r\n") })
	}
}
