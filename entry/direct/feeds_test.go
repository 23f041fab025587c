package direct

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/reader"
)

// A connection that was begun to a node which is no longer the right one must not make this node rely
// on it later.
func TestCandidateIsDroppedOnceTheNodeReadsTheLogItself(t *testing.T) {
	no := &Node{logger: zerolog.Nop(), options: Options{Settings: conf.DirectEntrySettings{
		Place: conf.Place{Name: "entry-1"}, PeerAddress: "10.0.0.1:7",
	}}}
	fe := newFeeds(no)
	canceled := false
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fe.candidate = &feed{peer: reader.Peer{Name: "entry-0", Address: "10.0.0.2:7"}, cancel: func() { canceled = true }, lastForward: now}
	fe.chooseSource(t.Context(), now)
	if !canceled || fe.candidate != nil {
		t.Error("the connection to a node that no agent reports any more is kept")
	}
}
