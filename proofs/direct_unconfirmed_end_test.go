package proofs

import (
	"net/http"
	"testing"
)

// unframedEvents returns a stream without framing that ends in an orderly way after the given events.
func unframedEvents(numbers ...int) func(wr http.ResponseWriter, rq *http.Request) {
	return unframed("Content-Type: text/event-stream\r\n", eventText(numbers...))
}

// A server goes away in the middle of a stream without framing, and the next one does as well, after
// some events. Neither of the ends shows that the stream is whole, and its caller can take it up: it must not look whole.
func TestDirectEndIsNotConfirmedByAnAnswerWithoutFraming(t *testing.T) {
	for name, answers := range map[string][]func(wr http.ResponseWriter, rq *http.Request){
		"the second one is framed":            {unframedEvents(1, 2, 3), streamOf(4, 5, 6, 7, 8, 9, 10)},
		"the second one ends after some":      {unframedEvents(1, 2, 3), unframedEvents(4, 5)},
		"the first one is framed, and breaks": {brokenStream, unframedEvents(5, 6)},
	} {
		t.Run(name, func(t *testing.T) { checkFollowing(t, runFollowing(t, "/stream/x", answers...)) })
	}
}
