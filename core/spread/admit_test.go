package spread

import (
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// Requests arrive at one engine four times as fast as it reads their prompts. The excess must be
// refused at once, and a retry after the returned time must find a short enough queue.
func TestAdmitRefusesABurstOnceTheQueueExceedsTheWaitBudget(t *testing.T) {
	fl := fleetOf("e1")
	report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	rq := requestFor("x")
	rq.PromptTokens = 2400
	now, admitted, refused := start, 0, 0
	readBy := start
	for range 200 {
		now = now.Add(grant.PrefillTime(rq.PromptTokens) / 4)
		fl.AgentReported("e1", Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 1_000_000, Backlog: max(0, readBy.Sub(now))}, ReportedAt: now}, nil)
		ch := mustChoose(t, fl, rq, now)
		retryAfter, ok := ch.Admit(5 * time.Second)
		if !ok {
			refused++
			queued := readBy.Sub(now) - retryAfter
			if queued > firstByteWaitMax {
				t.Fatalf("a retry after %v would queue behind %v of prompts", retryAfter, queued)
			}
			continue
		}
		admitted++
		if readBy.Before(now) {
			readBy = now
		}
		readBy = readBy.Add(grant.PrefillTime(rq.PromptTokens))
		if wait := readBy.Sub(now); wait > firstByteWaitMax+time.Second {
			t.Fatalf("admitted with %v until its prompt is read", wait)
		}
	}
	if refused == 0 || admitted < 50 {
		t.Errorf("%d admitted, %d refused; want at least 50 admitted and some refused", admitted, refused)
	}
}

func TestAdmitRefusesAWaitLongerThanTheTimeRemaining(t *testing.T) {
	ch := Choice{Wait: time.Second}
	if _, ok := ch.Admit(800 * time.Millisecond); ok {
		t.Error("admitted with a wait longer than the time remaining")
	}
	if _, ok := ch.Admit(5 * time.Second); !ok {
		t.Error("refused with a wait within the budget")
	}
}
