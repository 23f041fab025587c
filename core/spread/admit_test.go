package spread

import (
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// TestABurstIsRefusedOnceTheQueueIsLongerThanCallersWait replays a burst at one engine:
// requests arrive four times as fast as it reads them.
func TestABurstIsRefusedOnceTheQueueIsLongerThanCallersWait(t *testing.T) {
	fl := fleetOf("e1")
	tell(fl, "e1", Hold{Adapter: "x", Version: 1, Ready: true})
	rq := ask("x")
	rq.PromptTokens = 2400
	now, admitted, refused := start, 0, 0
	readBy := start
	for range 200 {
		now = now.Add(grant.ReadTime(rq.PromptTokens) / 4)
		fl.Told("e1", Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 1_000_000, Backlog: max(0, readBy.Sub(now))}, At: now}, nil)
		ch := chosen(t, fl, rq, now)
		comeBack, ok := ch.Admit(5 * time.Second)
		if !ok {
			refused++
			drained := readBy.Sub(now) - comeBack
			if drained > patienceMax {
				t.Fatalf("a caller that comes back after %v finds %v of prompts before it", comeBack, drained)
			}
			continue
		}
		admitted++
		if readBy.Before(now) {
			readBy = now
		}
		readBy = readBy.Add(grant.ReadTime(rq.PromptTokens))
		if wait := readBy.Sub(now); wait > patienceMax+time.Second {
			t.Fatalf("admitted behind %v of prompts", wait)
		}
	}
	if refused == 0 || admitted < 50 {
		t.Errorf("%d admitted, %d refused", admitted, refused)
	}
}

func TestARequestWithLittleTimeLeftIsNotAdmittedToALongerWait(t *testing.T) {
	ch := Choice{Wait: time.Second}
	if _, ok := ch.Admit(800 * time.Millisecond); ok {
		t.Error("admitted to a wait beyond the caller's time")
	}
	if _, ok := ch.Admit(5 * time.Second); !ok {
		t.Error("refused within the caller's patience")
	}
}
