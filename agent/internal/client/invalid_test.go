package client

import (
	"net/http"
	"testing"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

// A backend server in trouble answers with a head that is none. Nothing of it is believed: a request may have run, an order may
// still be carried out, and what an engine holds is not known.
func TestInvalidHeadIsBelievedInNothing(t *testing.T) {
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
