package grant

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// reserveFor requests a grant for an organisation.
func (dr *driver) reserveFor(organisation, attempt, adapter string, urgency int, goal time.Duration) {
	rq := Request{
		Attempt: attempt, Entry: "entry", Key: Key{Model: testModel, Adapter: adapter}, Urgency: urgency, PromptTokens: 1000, OutputTokens: 20,
		Organisation: organisation, Deadline: dr.now.Add(5 * time.Second),
	}
	if goal > 0 {
		rq.GoalAt = dr.now.Add(goal)
	}
	dr.record(dr.en.Reserve(rq, dr.now))
}

// newFullDriver returns a driver whose engine has memory for no request but the one called full.
func newFullDriver(t *testing.T) *driver {
	dr := newDriver(t, 6)
	dr.record(dr.en.Reserve(Request{
		Attempt: "full", Entry: "entry", Key: Key{Model: testModel}, PromptTokens: 10, OutputTokens: 99_990, Deadline: dr.now.Add(time.Hour),
	}, dr.now))
	dr.granted = nil
	return dr
}

// Requests without an organisation must be served in the order of their urgency and waiting time alone.
func TestRequestsWithoutOrganisationAreOrderedByUrgencyAndWait(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	dr := newFullDriver(t)
	for ix := range 200 {
		dr.now = dr.now.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
		dr.record(dr.en.Reserve(Request{
			Attempt: fmt.Sprint(ix), Entry: "entry", Key: Key{Model: testModel}, Urgency: rng.IntN(10), PromptTokens: 1 + rng.IntN(2000), OutputTokens: 20,
			GoalAt: dr.now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond), Deadline: dr.now.Add(time.Hour),
		}, dr.now))
	}
	want := make([]string, 0)
	waiting := slices.Clone(dr.en.queue)
	for len(waiting) > 0 {
		best := 0
		for ix := range waiting {
			if waiting[ix].priority(dr.now) > waiting[best].priority(dr.now) {
				best = ix
			}
		}
		want = append(want, waiting[best].Attempt)
		waiting = slices.Delete(waiting, best, best+1)
	}
	dr.en.observation.MemoryTotal = 0
	dr.record(dr.en.Tick(dr.now))
	if !slices.Equal(dr.granted, want) {
		t.Errorf("granted %v, want %v", dr.granted, want)
	}
}

// A large organisation's requests that have waited for long must not go before the first one of a small organisation.
func TestOrganisationThatHasUsedLessGoesFirst(t *testing.T) {
	dr := newFullDriver(t)
	for ix := range 5 {
		dr.reserveFor("large", fmt.Sprint("large", ix), "", 5, 0)
	}
	dr.now = dr.now.Add(3 * time.Second)
	dr.reserveFor("small", "small0", "", 5, 0)
	dr.reserveFor("small", "small1", "", 5, 0)
	dr.record(dr.en.Release("full", 0, dr.now))
	if want := "[large0 small0 large1 small1 large2 large3 large4]"; fmt.Sprint(dr.granted) != want {
		t.Errorf("granted %v, want %s", dr.granted, want)
	}
}

// An organisation that was idle for long must not take the engine from all others once it returns.
func TestIdleOrganisationEarnsNoCredit(t *testing.T) {
	dr := newFullDriver(t)
	dr.en.shares.of("busy", dr.now).used = 1e6
	dr.reserveFor("busy", "busy0", "", 5, 0)
	dr.reserveFor("busy", "busy1", "", 5, 0)
	dr.reserveFor("idle", "idle0", "", 5, 0)
	dr.reserveFor("idle", "idle1", "", 5, 0)
	dr.record(dr.en.Release("full", 0, dr.now))
	if want := "[busy0 idle0 busy1 idle1]"; fmt.Sprint(dr.granted) != want {
		t.Errorf("granted %v, want %s", dr.granted, want)
	}
}

// A more urgent organisation goes first, and a less urgent one that has waited for agingStep in vain is served although
// more urgent requests keep coming.
func TestLessUrgentOrganisationIsServedAfterAWhile(t *testing.T) {
	dr := newFullDriver(t)
	dr.reserveFor("low", "low", "", 2, 0)
	dr.reserveFor("high", "high", "", 9, 0)
	dr.en.observation.MemoryTotal += 1100
	granted := time.Duration(0)
	start := dr.now
	for ix := range 60 {
		attempt := fmt.Sprint("high", ix)
		dr.reserveFor("high", attempt, "", 9, 0)
		dr.reserveFor("high", attempt+"b", "", 9, 0)
		dr.now = dr.now.Add(50 * time.Millisecond)
		dr.record(dr.en.Release(dr.granted[len(dr.granted)-1], 0, dr.now))
		if slices.Contains(dr.granted, "low") {
			granted = dr.now.Sub(start)
			break
		}
	}
	if granted < agingStep || granted > agingStep+200*time.Millisecond {
		t.Errorf("the less urgent request was granted after %s, want it %s after the first more urgent one", granted, agingStep)
	}
}

// One organisation that asks for many rare adapters must not take all loads.
func TestAdapterLoadsAreSharedAmongOrganisations(t *testing.T) {
	dr := newDriver(t, 12)
	for ix := range 6 {
		dr.reserveFor("large", fmt.Sprint("large", ix), fmt.Sprint("rare", ix), 5, 0)
	}
	dr.now = dr.now.Add(3 * time.Second)
	dr.reserveFor("small", "small", "wanted", 5, 0)
	loads := make([]string, 0)
	for range 2 {
		if dr.pendingOrder == nil {
			break
		}
		loads = append(loads, dr.pendingOrder.Key.Adapter)
		dr.acceptOrder()
	}
	if want := "[rare0 wanted]"; fmt.Sprint(loads) != want {
		t.Errorf("loaded %v, want %s", loads, want)
	}
}

// A request that can no longer meet its goal lets one go first that still can, except shortly before its deadline.
func TestRequestThatMissedItsGoalYields(t *testing.T) {
	dr := newFullDriver(t)
	dr.reserveFor("o", "missed", "", 5, 500*time.Millisecond)
	dr.now = dr.now.Add(time.Second)
	dr.reserveFor("o", "sound", "", 5, 500*time.Millisecond)
	dr.record(dr.en.Release("full", 0, dr.now))
	if want := "[sound missed]"; fmt.Sprint(dr.granted) != want {
		t.Errorf("granted %v, want %s", dr.granted, want)
	}

	dr = newFullDriver(t)
	dr.reserveFor("o", "missed0", "", 5, 500*time.Millisecond)
	dr.reserveFor("o", "missed1", "", 5, 500*time.Millisecond)
	dr.now = dr.now.Add(4500 * time.Millisecond)
	dr.en.queue[0].Urgency, dr.en.queue[1].Urgency = 4, 4
	dr.reserveFor("o", "sound", "", 6, 5*time.Second)
	dr.record(dr.en.Release("full", 0, dr.now))
	if want := "[missed0 sound missed1]"; fmt.Sprint(dr.granted) != want {
		t.Errorf("granted %v, want %s", dr.granted, want)
	}
}

// A caller that leaves while its request waits must not keep an adapter from being replaced, nor cause a load for which no
// other request waits.
func TestWithdrawnRequestFreesWhatItHeldAtOnce(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.record(dr.en.Reserve(Request{
		Attempt: "full", Entry: "entry", Key: Key{Model: testModel}, PromptTokens: 10, OutputTokens: 99_990, Deadline: dr.now.Add(time.Hour),
	}, dr.now))
	dr.reserveFor("o", "leaves", "x", 5, 0)
	dr.reserveFor("p", "stays", "y", 5, 0)
	if dr.pendingOrder != nil {
		t.Fatalf("ordered %+v while a request waits for x", dr.pendingOrder)
	}
	dr.record(dr.en.Release("leaves", 0, dr.now))
	if dr.pendingOrder == nil || dr.pendingOrder.Operation != UnloadAdapter || dr.pendingOrder.Key.Adapter != "x" {
		t.Fatalf("ordered %+v after the request for x was withdrawn, want x unloaded", dr.pendingOrder)
	}
	dr.record(dr.en.Release("stays", 0, dr.now))
	dr.acceptOrder()
	if dr.pendingOrder != nil {
		t.Errorf("ordered %+v although no request waits", dr.pendingOrder)
	}
	if st := dr.en.shares; len(dr.en.queue) != 0 || len(st.waiting) != 0 || st.byName["o"].waitingTokens != 0 {
		t.Errorf("%d requests are queued, %d organisations wait", len(dr.en.queue), len(st.waiting))
	}
}

// Counts of granted requests must follow each way in which a grant begins and ends.
func TestGrantCountsFollowEveryEvent(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	dr := newDriver(t, 3, "a0", "a1", "a2")
	for ix := range 3000 {
		dr.now = dr.now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
		rq := Request{
			Attempt: fmt.Sprint(rng.IntN(300)), Entry: fmt.Sprint("entry", rng.IntN(3)), Key: Key{Model: testModel, Adapter: fmt.Sprint("a", rng.IntN(4))},
			PromptTokens: 1 + rng.IntN(5000), OutputTokens: 20, Organisation: fmt.Sprint("o", rng.IntN(4)), GoalAt: dr.now.Add(time.Second),
			Deadline: dr.now.Add(2 * time.Second),
		}
		if dr.en.queueIndex(rq.Attempt) >= 0 {
			rq.Attempt = fmt.Sprint("new", ix)
		}
		switch rng.IntN(8) {
		case 0, 1, 2, 3:
			dr.en.Reserve(rq, dr.now)
		case 4:
			dr.en.RestoreGrant(rq, dr.now)
		case 5:
			dr.en.Release(rq.Attempt, 0, dr.now)
		case 6:
			dr.en.EntryDisconnected(rq.Entry, dr.now)
		case 7:
			dr.en.Tick(dr.now)
		}
		checkCounts(t, dr.en)
	}
}

// checkCounts compares what an agent counts as requests come and go with a count over all of them.
func checkCounts(t *testing.T, en *Engine) {
	t.Helper()
	pins, reserved := map[Key]int{}, 0
	waitingTokens, grantedTokens := map[string]int{}, map[string]int{}
	for _, gr := range en.granted {
		pins[gr.Key]++
		reserved += gr.tokens()
		grantedTokens[gr.Organisation] += gr.tokens()
	}
	for ix := range en.queue {
		waitingTokens[en.queue[ix].Organisation] += en.queue[ix].tokens()
	}
	if !maps.Equal(pins, en.pins) || reserved != en.reserved {
		t.Fatalf("counted %v and %d tokens, want %v and %d", en.pins, en.reserved, pins, reserved)
	}
	for name, sh := range en.shares.byName {
		if sh.waitingTokens != waitingTokens[name] || sh.grantedTokens != grantedTokens[name] {
			t.Fatalf("%s: %d tokens waiting and %d granted, want %d and %d", name, sh.waitingTokens, sh.grantedTokens, waitingTokens[name], grantedTokens[name])
		}
	}
}
