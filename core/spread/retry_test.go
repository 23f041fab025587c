package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// afterBurst sends 200 requests to an engine within 100 ms, which takes 28 s to read them, and has refused callers
// return when they are told to. It returns the most that return within 100 ms, all refusals, and for how long the
// engine had nothing to read while callers were still to return.
func afterBurst(t *testing.T, seed uint64, spreads bool) (peak, refused int, idle time.Duration) {
	t.Helper()
	rng, fl, rq := rand.New(rand.NewPCG(seed, 1)), fleetOf("e1"), requestFor("")
	rq.PromptTokens = 2400
	returns, perTenth, readBy, waiting := map[int]int{}, map[int]int{}, start, 200
	for ix := range 20 {
		returns[ix] = 10
	}
	for ix := 0; waiting > 0; ix++ {
		now := start.Add(time.Duration(ix) * simStep)
		if now.After(readBy) && ix > 0 {
			idle += simStep
		}
		for range returns[ix] {
			fl.AgentReported("e1", Load{Load: grant.Load{Known: true, Model: "m", MemoryFree: 1_000_000, Backlog: max(0, readBy.Sub(now))}, ReportedAt: now}, nil)
			ch := mustChoose(t, fl, rq, now)
			retryAfter, ok := ch.Admit(time.Minute)
			if ok {
				readBy = later(readBy, now).Add(grant.PrefillTime(rq.PromptTokens))
				waiting--
				continue
			}
			refused++
			if spreads {
				earliest := retryAfter
				retryAfter = ch.SpreadRetry(earliest, rng.Float64())
				if retryAfter < earliest {
					t.Fatalf("a retry after %s is earlier than useful, which is %s", retryAfter, earliest)
				}
			}
			at := ix + max(1, int(retryAfter/simStep))
			returns[at]++
			perTenth[at/20]++
			peak = max(peak, perTenth[at/20])
		}
	}
	return peak, refused, idle
}

// All callers that are refused in a burst would return at the same time.
func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	for seed := range uint64(3) {
		peak, refused, idle := afterBurst(t, seed, true)
		samePeak, sameRefused, _ := afterBurst(t, seed, false)
		t.Logf("seed %d: %d return within 100 ms, %d refusals, engine idle for %s; without the spread %d and %d", seed, peak, refused, idle, samePeak, sameRefused)
		if 3*peak > samePeak || refused >= sameRefused {
			t.Errorf("seed %d: %d return within 100 ms, %d refusals; without the spread %d and %d", seed, peak, refused, samePeak, sameRefused)
		}
		if idle > 0 {
			t.Errorf("seed %d: the engine was idle for %s while callers were to return", seed, idle)
		}
	}
}

// A retry is spread over more time where there is more to wait for, but not beyond the end of the queue.
func TestRetriesAreSpreadUpToTheEndOfTheQueue(t *testing.T) {
	ch := Choice{goals: Goals{FirstEvent: time.Second, PauseMax: 400 * time.Millisecond}}
	for earliest, want := range map[time.Duration]time.Duration{
		400 * time.Millisecond: 1400 * time.Millisecond,
		2 * time.Second:        4 * time.Second,
		time.Minute:            time.Minute + 3500*time.Millisecond,
	} {
		if got := ch.SpreadRetry(earliest, 1); got != want {
			t.Errorf("the latest retry after %s is after %s, want %s", earliest, got, want)
		}
		if got := ch.SpreadRetry(earliest, 0); got != earliest {
			t.Errorf("the earliest retry is after %s, want %s", got, earliest)
		}
	}
}
