package client

import (
	"net/http"
	"testing"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

// A backend server sends an invalid head. The client must not conclude anything from it: a request may have run, an order may still
// be carried out, and what an engine holds is not known.
func TestInvalidHeadIsAnError(t *testing.T) {
	const inventory = `{"boot":"b","fence":1,"held":[]}`
	fakes.ServeInvalid(t, inventory, func(address, answer string) {
		cl := NewClient(&http.Transport{}, "http://"+address)
		for _, handle := range []string{"", "cure@1#boot-1"} {
			di := &wire.Dispatch{Attempt: "a", Method: http.MethodPost, Path: "/", Body: []byte("{}")}
			if resp, err := cl.Forward(t.Context(), di, handle); err == nil {
				_ = resp.Body.Close()
				t.Errorf("%q: status %d", answer, resp.StatusCode)
			}
		}
		if iv, err := cl.Inspect(t.Context()); err == nil {
			t.Errorf("%q: inventory %+v", answer, iv)
		}
		if _, err := cl.Cancel(t.Context(), "a"); err == nil {
			t.Errorf("%q: a cancellation is confirmed", answer)
		}
		if re, boot := cl.Load(t.Context(), Order{Handle: "h"}); re != sched.Lost || boot != "" {
			t.Errorf("%q: a load has the result %v of engine process %q", answer, re, boot)
		}
		if re, boot := cl.Unload(t.Context(), Order{Handle: "h"}); re != sched.Lost || boot != "" {
			t.Errorf("%q: an unload has the result %v of engine process %q", answer, re, boot)
		}
	})
}

// readMax is more than an inspection, a cancellation and an order read together, with what the sockets of their connections hold, in
// bytes.
const readMax = 48 << 20

// An engine sends endless responses to inspections, cancellations and orders. The client must stop reading.
func TestClientStopsReadingEndlessResponses(t *testing.T) {
	for name, text := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nA: ", "body": "HTTP/1.1 200 OK\r\n\r\n", "inventory": "HTTP/1.1 200 OK\r\n\r\n{\"boot\":\"", "chunk line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		en := &fakes.Endless{Text: text, Block: "e"}
		cl := NewClient(&http.Transport{}, "http://"+fakes.Serve(t, en.Answer))
		if iv, err := cl.Inspect(t.Context()); err == nil {
			t.Errorf("an endless %s: inventory %+v", name, iv)
		}
		_, cancelErr := cl.Cancel(t.Context(), "a")
		load, _ := cl.Load(t.Context(), Order{Handle: "h"})
		if name == "head" && (cancelErr == nil || load != sched.Lost) {
			t.Errorf("an endless %s: a load has the result %v, a cancellation %v", name, load, cancelErr)
		}
		if en.Sent() > readMax {
			t.Errorf("an endless %s: %d MiB", name, en.Sent()>>20)
		}
	}
}
