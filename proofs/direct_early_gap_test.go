package proofs

import (
	"bufio"
	"net/http"
	"testing"
)

// brokenAfter returns a framed stream that breaks off after the given events.
func brokenAfter(numbers ...int) func(wr http.ResponseWriter, rq *http.Request) {
	return func(wr http.ResponseWriter, rq *http.Request) {
		hijack(wr, func(bw *bufio.ReadWriter) {
			_, _ = bw.WriteString(answerHead(rq, "200 OK", streamLines) + encodeChunk(eventText(numbers...)))
		})
	}
}

// A stream breaks off so early that it does not show how its events are numbered, and the next server leaves an event out.
func TestDirectGapAfterAnEarlyBreakIsNotPassedOn(t *testing.T) {
	for name, answers := range map[string][]func(wr http.ResponseWriter, rq *http.Request){
		"after two events":              {brokenAfter(1, 2), streamOf(4, 5, 6, 7, 8, 9, 10)},
		"after one event":               {brokenAfter(1), streamOf(3, 4, 5, 6, 7, 8, 9, 10)},
		"after one event, as it should": {brokenAfter(1), streamOf(2, 3, 4, 5, 6, 7, 8, 9, 10)},
	} {
		t.Run(name, func(t *testing.T) { checkFollowing(t, runFollowing(t, "/stream/x", answers...)) })
	}
}
