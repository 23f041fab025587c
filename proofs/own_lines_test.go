package proofs

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// strayError is the whole answer with which an engine says that it has failed.
const strayError = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"error\":\"lost\"}\n\n"

// ownChanged sends the engine's stream with its text changed.
func ownChanged(change func(text string) string) ownAnswer {
	return func(wr http.ResponseWriter, rq *http.Request, inner http.Handler) {
		rec := httptest.NewRecorder()
		inner.ServeHTTP(rec, rq)
		for name, values := range rec.Header() {
			wr.Header()[name] = values
		}
		_, _ = wr.Write([]byte(change(rec.Body.String())))
	}
}

// firstEvents returns the first four events of a stream.
func firstEvents(text string) string {
	return strings.Join(strings.SplitAfterN(text, "\n\n", 5)[:4], "")
}

// An engine fails within a stream and writes its error there, then the end. Callers would get a part of the stream that
// ends as if it were whole.
func TestOwnErrorWithinAStreamBreaksItOff(t *testing.T) {
	const end = "data: [DONE]\n\n"
	for name, change := range map[string]func(text string) string{
		"between events":       func(text string) string { return firstEvents(text) + strayError + end },
		"within an event":      func(text string) string { return text[:len(firstEvents(text))+40] + strayError + end },
		"after its name":       func(text string) string { return firstEvents(text) + "data: " + strayError + end },
		"as an event":          func(text string) string { return firstEvents(text) + "data: {\"error\":\"lost\"}\n\n" + end },
		"as a line of text":    func(text string) string { return firstEvents(text) + "lost\n\n" + end },
		"before the first one": func(string) string { return strayError + end },
	} {
		t.Run(name, func(t *testing.T) {
			re := runOwnFollowing(t, ownChanged(change))
			checkOwnStream(t, re)
			if _, complete := re.text(); !complete {
				t.Errorf("the stream did not go on at another engine: status %d, error %v, %q", re.status, re.err, re.end())
			}
		})
	}
}

// An engine writes its events in another way that the format allows. Callers must get each of them.
func TestOwnStreamIsReadAsItsFormatAllows(t *testing.T) {
	replaced := func(old, text string) ownAnswer {
		return ownChanged(func(whole string) string { return strings.ReplaceAll(whole, old, text) })
	}
	for name, an := range map[string]ownAnswer{
		"without the space":       replaced("data: ", "data:"),
		"one without the space":   ownChanged(func(whole string) string { return strings.Replace(whole, "\n\ndata: ", "\n\ndata:", 1) }),
		"with comments":           replaced("data: ", ": wait\n\n:\ndata: "),
		"with other fields":       replaced("data: ", "event: token\nid: 7\nid\nretry: 10\ndata: "),
		"with other ends of line": replaced("\n", "\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			re := runOwnFollowing(t, an, ownBrokenStream, ownBrokenStream, ownBrokenStream)
			checkOwnStream(t, re)
			if _, complete := re.text(); !complete {
				t.Errorf("the stream was broken off: status %d, error %v, %q", re.status, re.err, re.end())
			}
		})
	}
}
