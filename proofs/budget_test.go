package proofs

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// statedBytes is the size of the largest body that the settings of the simulation allow, and statedMax how many of
	// them an entry node has memory for.
	statedBytes = 1 << 20
	statedMax   = 48
)

// stateBody sends the head of a chat with the largest body, and nothing of the body.
func (sm *simulation) stateBody(t *testing.T) net.Conn {
	nc, err := sm.net.forHost("caller").DialContext(t.Context(), "tcp", "entry-0:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(nc, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry-0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", callerToken, statedBytes); err != nil {
		t.Fatal(err)
	}
	return nc
}

// On the product's own interface too, a body without room is refused at once as not run, small requests are served, and
// bodies that do not arrive give way to one that does.
func TestBodiesWithoutRoomAreRefusedAndSlowOnesGiveWay(t *testing.T) {
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		for range statedMax {
			nc := sm.stateBody(t)
			defer func() { _ = nc.Close() }()
		}
		time.Sleep(100 * time.Millisecond)
		// The body is a valid request with a long prompt.
		large := func() reply {
			return sm.sendChat("caller", "entry-0", "cure@1", strings.Repeat("p", statedBytes-1000), 5, false, 10*time.Second)
		}
		re := large()
		if re.status != http.StatusServiceUnavailable || re.errorType != "overloaded" || re.outcome != "not_run" || re.header.Get("Retry-After") == "" || re.took > refusalMax {
			t.Errorf("a body without room got %d %s %s after %v: %v", re.status, re.errorType, re.outcome, re.took, re.err)
		}
		mustAnswer(t, sm.sendChat("caller", "entry-0", "cure@1", "how long", 20, false, 10*time.Second), "cure@1", "how long", 20)
		time.Sleep(2 * time.Second)
		if re := large(); re.status != http.StatusOK || re.err != nil {
			t.Errorf("a body that arrives at once got %d beside bodies that do not, %v: %.200s", re.status, re.err, re.body)
		}
	})
}
