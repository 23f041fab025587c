package engine

import (
	"net/http"
	"testing"

	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// The weight store sends an invalid response, or one that breaks off. An adapter must not count as loaded by it.
func TestFetchTakesNoBrokenResponseForWeights(t *testing.T) {
	fetch := func(address, answer string) {
		hs := HTTPStore{Client: reply.NewClient(&http.Transport{}), URL: "http://" + address}
		if status := hs.Fetch(t.Context(), "cure", 1); status < http.StatusBadRequest {
			t.Errorf("%q: status %d", answer, status)
		}
	}
	fakes.ServeInvalid(t, "weights", fetch)
	for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\na part", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n"} {
		fetch(fakes.Serve(t, fakes.Send(answer, fakes.Close)), answer)
	}
	answer := "HTTP/1.1 200 OK\r\n\r\na part"
	fetch(fakes.Serve(t, fakes.Send(answer, fakes.Reset)), answer)
	for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nweights", "HTTP/1.1 200 OK\r\n\r\nweights"} {
		hs := HTTPStore{Client: reply.NewClient(&http.Transport{}), URL: "http://" + fakes.Serve(t, fakes.Send(answer, fakes.Close))}
		if status := hs.Fetch(t.Context(), "cure", 1); status != http.StatusOK {
			t.Errorf("%q: status %d", answer, status)
		}
	}
}
