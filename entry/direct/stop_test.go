package direct

import (
	"net"
	"net/http"
	"testing"
)

// A stop ends keep-alives by a call that closes idle connections, one on which a request is just being read among them.
func TestKeepAlivesEndOnlyWhileNoConnectionIsIdle(t *testing.T) {
	wc, nc := waitingConns{}, &net.TCPConn{}
	ended := 0
	end := func() { ended++ }
	for _, step := range []struct {
		state http.ConnState
		ends  bool
	}{
		{http.StateNew, true}, {http.StateActive, true}, {http.StateIdle, false}, {http.StateActive, true}, {http.StateIdle, false}, {http.StateClosed, true},
	} {
		wc.record(nc, step.state)
		before := ended
		if done := wc.whileNoneIdle(end); done != step.ends || done != (ended > before) {
			t.Errorf("in state %v keep-alives end is %v, want %v", step.state, done, step.ends)
		}
	}
}
