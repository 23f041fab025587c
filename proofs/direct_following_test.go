package proofs

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// eventText returns the events with the given numbers.
func eventText(numbers ...int) string {
	text := strings.Builder{}
	for _, number := range numbers {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", number, number)
	}
	return text.String()
}

// answerHead returns the head of a server's own answer to a request, with further header lines.
func answerHead(rq *http.Request, status, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: yes\r\n%s\r\n", status, headerID, rq.Header.Get(headerID), headerSeal, lines)
}

// Header lines of answers.
const (
	streamLines = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	jsonLines   = "Content-Type: application/json\r\n"
	lastChunk   = "0\r\n\r\n"
)

// writeRaw writes bytes to the connection of a request and closes it in an orderly way.
func writeRaw(text func(rq *http.Request) string) func(wr http.ResponseWriter, rq *http.Request) {
	return func(wr http.ResponseWriter, rq *http.Request) {
		hijack(wr, func(bw *bufio.ReadWriter) { _, _ = bw.WriteString(text(rq)) })
	}
}

// streamOf returns a whole, framed stream with the given events.
func streamOf(numbers ...int) func(wr http.ResponseWriter, rq *http.Request) {
	return streamText(eventText(numbers...))
}

// streamText returns a whole, framed stream with the given text.
func streamText(text string) func(wr http.ResponseWriter, rq *http.Request) {
	return writeRaw(func(rq *http.Request) string {
		if text == "" {
			return answerHead(rq, "200 OK", streamLines) + lastChunk
		}
		return answerHead(rq, "200 OK", streamLines) + encodeChunk(text) + lastChunk
	})
}

// sized returns an answer with a length.
func sized(status, lines, body string) func(wr http.ResponseWriter, rq *http.Request) {
	return writeRaw(func(rq *http.Request) string {
		return answerHead(rq, status, lines+fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
	})
}

// unframed returns an answer that ends with its connection.
func unframed(lines, body string) func(wr http.ResponseWriter, rq *http.Request) {
	return writeRaw(func(rq *http.Request) string { return answerHead(rq, "200 OK", lines) + body })
}

// cutHead returns an answer that ends within its head, a share of it before the end.
func cutHead(status, lines string, share float64) func(wr http.ResponseWriter, rq *http.Request) {
	return writeRaw(func(rq *http.Request) string {
		head := answerHead(rq, status, lines)
		return head[:int(float64(len(head))*share)]
	})
}

// brokenStream breaks its stream off after four events.
func brokenStream(wr http.ResponseWriter, rq *http.Request) {
	writeRaw(func(rq *http.Request) string {
		return answerHead(rq, "200 OK", streamLines) + encodeChunk(eventText(1, 2, 3, 4))
	})(wr, rq)
}

// checkWhole reports an answer that is not the whole stream.
func checkWhole(t *testing.T, re directReply) {
	t.Helper()
	if re.err != nil || re.status != http.StatusOK || re.body != completeStream() {
		t.Errorf("status %d, error %v, %q, want the whole stream", re.status, re.err, re.body)
	}
}

// checkFollowing reports an answer that is neither the whole stream nor, as broken off, a part of it from its start.
func checkFollowing(t *testing.T, re directReply) {
	t.Helper()
	whole := completeStream()
	looksWhole := re.err == nil && re.status == http.StatusOK
	switch {
	case looksWhole && re.body != whole:
		t.Errorf("the answer looks whole but is not the stream: %q", re.body)
	case re.err != nil && !strings.HasPrefix(whole, re.body):
		t.Errorf("the caller got %q, which is no part of the stream from its start", re.body)
	case re.err == nil && re.status != http.StatusOK && strings.Contains(re.body, "id: 1"):
		t.Errorf("status %d with %q", re.status, re.body)
	}
}

// runFollowing sends one request for a stream, whose sendings are answered in turn by the given functions and then as usual.
func runFollowing(t *testing.T, target string, answers ...func(wr http.ResponseWriter, rq *http.Request)) directReply {
	t.Helper()
	re := directReply{}
	runDirectSimulation(t, 0, 3, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		mu, count := sync.Mutex{}, 0
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			mu.Lock()
			number := count
			count++
			mu.Unlock()
			if number < len(answers) && answers[number] != nil {
				answers[number](wr, rq)
				return
			}
			defaultAnswer(wr, rq)
		})
		re = cl.send(t.Context(), http.MethodPost, target, "a1", "body")
		time.Sleep(time.Second)
	})
	return re
}

// A stream has broken off, and the next server answers with something else than a stream. Callers would get its text
// within their stream, or an end that is none.
func TestDirectBrokenStreamGoesOnOnlyWithAStream(t *testing.T) {
	for name, next := range map[string]func(wr http.ResponseWriter, rq *http.Request){
		"error":                          sized("500 Internal Server Error", jsonLines, `{"error":"overloaded"}`),
		"error that looks like an event": sized("500 Internal Server Error", jsonLines, "data: overloaded\n\n"),
		"rejection":                      sized("404 Not Found", jsonLines, "data: unknown\n\n"),
		"redirect":                       sized("302 Found", "Location: /x\r\n", ""),
		"success that is no stream":      sized("200 OK", jsonLines, "{\"error\":\"overloaded\"}\n\n"),
		"success without a type":         sized("200 OK", "", "data: overloaded\n\n"),
		"success without a body":         sized("200 OK", jsonLines, ""),
		"no content":                     writeRaw(func(rq *http.Request) string { return answerHead(rq, "204 No Content", "") }),
		"accepted":                       sized("202 Accepted", "Content-Type: text/event-stream\r\n", ""),
		"a quarter of a head":            cutHead("200 OK", streamLines, 0.25),
		"half a head":                    cutHead("200 OK", streamLines, 0.5),
		"a head without its last byte":   cutHead("200 OK", streamLines, 0.995),
		"a head of an error, cut":        cutHead("500 Internal Server Error", jsonLines, 0.8),
	} {
		t.Run(name, func(t *testing.T) { checkFollowing(t, runFollowing(t, "/stream/x", brokenStream, next)) })
	}
}

// A server goes on elsewhere than after the last event that the caller has. Callers would get events twice, or too few.
func TestDirectStreamGoesOnOnlyAfterItsLastEvent(t *testing.T) {
	for name, answers := range map[string][]func(wr http.ResponseWriter, rq *http.Request){
		"from the start":                  {brokenStream, streamOf(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)},
		"with the last event again":       {brokenStream, streamOf(4, 5, 6, 7, 8, 9, 10)},
		"without an event":                {brokenStream, streamOf(6, 7, 8, 9, 10)},
		"back to an earlier event":        {brokenStream, streamOf(5, 6, 3, 4, 7, 8, 9, 10)},
		"back within the first answer":    {streamOf(1, 2, 3, 2, 3, 4, 5, 6, 7, 8, 9, 10)},
		"an error told as an event":       {brokenStream, streamText("event: error\ndata: overloaded\n\n")},
		"without numbers":                 {brokenStream, streamText("data: event 5\n\ndata: event 6\n\n")},
		"an event twice in the beginning": {streamOf(1, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)},
	} {
		t.Run(name, func(t *testing.T) { checkFollowing(t, runFollowing(t, "/stream/x", answers...)) })
	}
}

// A server goes away in the middle of a stream without framing, which ends with its connection in an orderly way.
// Callers would get an empty or a short stream, framed as whole.
func TestDirectEndOfAConnectionIsNotTakenForTheEndOfAStream(t *testing.T) {
	const typeLine = "Content-Type: text/event-stream\r\n"
	for name, answers := range map[string][]func(wr http.ResponseWriter, rq *http.Request){
		"no event":                         {unframed(typeLine, "")},
		"some events":                      {unframed(typeLine, eventText(1, 2, 3))},
		"some events and half of another":  {unframed(typeLine, eventText(1, 2, 3)+"id: 4\nda")},
		"then half an event":               {unframed(typeLine, eventText(1, 2, 3)), unframed(typeLine, "id: 4\nda")},
		"then half an event in a chunk":    {unframed(typeLine, eventText(1, 2, 3)), cutChunk("id: 4\nda")},
		"then later events":                {unframed(typeLine, eventText(1, 2, 3)), streamOf(5, 6)},
		"no event after a break":           {brokenStream, unframed(typeLine, "")},
		"half a head":                      {cutHead("200 OK", streamLines, 0.5)},
		"a head without its last byte":     {cutHead("200 OK", streamLines, 0.995)},
		"a head without framing, cut":      {cutHead("200 OK", typeLine, 0.97)},
		"a head without framing, its half": {cutHead("200 OK", typeLine, 0.5)},
	} {
		t.Run(name, func(t *testing.T) { checkFollowing(t, runFollowing(t, "/stream/x", answers...)) })
	}
}

// cutChunk returns a stream that breaks off after some text.
func cutChunk(text string) func(wr http.ResponseWriter, rq *http.Request) {
	return writeRaw(func(rq *http.Request) string { return answerHead(rq, "200 OK", streamLines) + encodeChunk(text) })
}

// What follows must reach callers whole, however servers frame, number and type it, or keep connections open.
func TestDirectStreamGoesOnWithAllThatFollows(t *testing.T) {
	const typeLine = "Content-Type: text/event-stream\r\n"
	for name, answers := range map[string][]func(wr http.ResponseWriter, rq *http.Request){
		"a stream":                     {brokenStream, streamOf(5, 6, 7, 8, 9, 10)},
		"a comment first":              {brokenStream, streamText(": wait\n\n" + eventText(5, 6, 7, 8, 9, 10))},
		"a setting first":              {brokenStream, streamText("retry: 1000\n\n" + eventText(5, 6, 7, 8, 9, 10))},
		"a type with a parameter":      {brokenStream, typedStream("text/event-stream; charset=utf-8")},
		"a type in capitals":           {brokenStream, typedStream("Text/Event-Stream")},
		"all events without framing":   {unframed(typeLine, completeStream())},
		"and nothing more":             {unframed(typeLine, completeStream()), unframed(typeLine, "")},
		"broken off after all events":  {cutChunk(completeStream()), streamText("")},
		"the rest after three, framed": {unframed(typeLine, eventText(1, 2, 3)), streamOf(4, 5, 6, 7, 8, 9, 10)},
	} {
		t.Run(name, func(t *testing.T) { checkWhole(t, runFollowing(t, "/stream/x", answers...)) })
	}
}

// typedStream returns the last six events with a type.
func typedStream(contentType string) func(wr http.ResponseWriter, rq *http.Request) {
	return writeRaw(func(rq *http.Request) string {
		lines := "Content-Type: " + contentType + "\r\nTransfer-Encoding: chunked\r\n"
		return answerHead(rq, "200 OK", lines) + encodeChunk(eventText(5, 6, 7, 8, 9, 10)) + lastChunk
	})
}

// The servers of a service never frame their streams. Asking others for each end would take the retries that broken streams
// need.
func TestDirectServersThatNeverFrameStreamsAreNotDoubted(t *testing.T) {
	const streams = 40
	runDirectSimulation(t, 0, 3, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(writeRaw(func(rq *http.Request) string {
			last, _ := strconv.Atoi(rq.Header.Get(headerLastEvent))
			_, rest, _ := strings.Cut(completeStream(), eventText(last))
			if last == 0 {
				rest = completeStream()
			}
			return answerHead(rq, "200 OK", "Content-Type: text/event-stream\r\n") + rest
		}))
		for range streams {
			checkWhole(t, cl.send(t.Context(), http.MethodPost, "/stream/x", "a1", "body"))
		}
		if got := len(ds.allRequests()); got > streams+10 {
			t.Errorf("servers received %d requests for %d streams", got, streams)
		}
	})
}

// Streams that end with their connection are whole where no other server can be asked whether more follows: servers that
// answer without framing are not worthless.
func TestDirectStreamWithoutFramingIsWholeWhereNobodyCanBeAsked(t *testing.T) {
	answer := unframed("Content-Type: text/event-stream\r\n", completeStream())
	for name, tc := range map[string]struct {
		target string
		next   func(wr http.ResponseWriter, rq *http.Request)
	}{
		"the route does not resume":  {target: "/once/x"},
		"the other server is full":   {target: "/stream/x", next: answerNotRun},
		"the other server fails":     {target: "/stream/x", next: sized("500 Internal Server Error", jsonLines, "{}")},
		"the other server goes away": {target: "/stream/x", next: cutHead("200 OK", streamLines, 0.5)},
	} {
		t.Run(name, func(t *testing.T) {
			checkWhole(t, runFollowing(t, tc.target, answer, tc.next, tc.next, tc.next))
		})
	}
}
