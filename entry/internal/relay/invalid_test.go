package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

// An agent of an earlier version passes on an answer with an invalid status. The caller must not get it.
func TestReceiverEndsAnAnswerWithAnInvalidStatus(t *testing.T) {
	for _, status := range []int{0, 1, 99, http.StatusSwitchingProtocols, 600, 999, -1} {
		la, rc := &lossyAgent{events: make(chan links.Event, 3)}, &answerRecorder{}
		la.events <- links.Event{Frame: &wire.Frame{Head: &wire.Head{Status: status}}}
		la.events <- links.Event{Frame: &wire.Frame{Chunk: &wire.Chunk{Sequence: 1, Data: []byte("trouble")}}}
		la.events <- links.Event{Frame: &wire.Frame{End: &wire.End{Count: 1, Whole: true}}}
		re := &receiver{at: la, events: la.events, boot: "boot", sentAt: time.Now(), an: rc, reconnectTimeout: time.Second}
		if rs := re.run(context.Background(), time.Now().Add(time.Minute)); rs.ending != interrupted || rc.heads > 0 || rc.text.Len() > 0 {
			t.Errorf("status %d: %v, %d heads, %q", status, rs, rc.heads, rc.text.String())
		}
	}
}

// An earlier version has stored an answer with an invalid status in the log. A repeated call must not get it.
func TestStoredAnswerWithAnInvalidStatusIsNotReplayed(t *testing.T) {
	for _, status := range []int{0, 99, http.StatusSwitchingProtocols, 600} {
		rc, fe := &answerRecorder{}, &fault.Error{}
		err := replayAnswer(&record.Done{Kept: true, Status: status, Body: []byte("trouble")}, rc)
		if !errors.As(err, &fe) || fe.Outcome != fault.Unknown || rc.heads > 0 || rc.text.Len() > 0 {
			t.Errorf("status %d: %v, %d heads, %q", status, err, rc.heads, rc.text.String())
		}
	}
	rc := &answerRecorder{}
	if err := replayAnswer(&record.Done{Kept: true, Status: http.StatusCreated, Body: []byte("sound")}, rc); err != nil || rc.text.String() != "sound" {
		t.Errorf("a sound answer: %v, %q", err, rc.text.String())
	}
}
