package spread

import (
	"math"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// pausedMax is the target for streams that pause for too long on a day on which nothing fails: 80 of 4,483.
const pausedMax = 80.0 / 4483

// pauseReplay returns a replay in which each adapter is on two engines, those of slow engines on a fast one as well.
func pauseReplay(seed uint64, goals Goals) *speedReplay {
	sr := newSpeedReplay(seed, 4, true, unequal...)
	sr.goals = goals
	for nr, re := range sr.engines {
		other := sr.engines[(nr+8)%len(sr.engines)].id
		for _, fl := range sr.fleets {
			fl.AgentReported(re.id, re.sent, []AdapterSlot{{Adapter: re.id, Version: 1, Ready: true}, {Adapter: other, Version: 1, Ready: true}})
		}
	}
	sr.run(4*time.Minute, 36)
	return sr
}

// On engines that are 3 to 4 times slower, a long prompt stalls all streams that run there for longer than callers
// accept. Such a prompt must go to another engine that has its adapter, although it would be prefilled there later.
func TestFewerStreamsPauseForTooLongWithThePenaltyForLateStreams(t *testing.T) {
	for seed := range uint64(3) {
		with, without := pauseReplay(seed, Goals{PauseMax: replayPauseMax}), pauseReplay(seed, Goals{})
		t.Logf("seed %d: %d of %d streams pause for too long and %d are late, without the penalty %d and %d", seed, with.paused, with.total, with.late, without.paused, without.late)
		if share := float64(with.paused) / float64(with.total); share > pausedMax {
			t.Errorf("seed %d: %.4f of the streams pause for too long, want at most %.4f", seed, share, pausedMax)
		}
		if share := float64(without.paused) / float64(without.total); share <= pausedMax {
			t.Errorf("seed %d: %.4f of the streams pause for too long without the penalty: the replay shows nothing", seed, share)
		}
		if with.late > without.late+with.total/100 {
			t.Errorf("seed %d: %d first events are late, without the penalty %d", seed, with.late, without.late)
		}
	}
}

// The penalty depends on the route's bound, the speed that is reported and the streams that run.
func TestPenaltyIsForStreamsThatWouldPauseForTooLong(t *testing.T) {
	slow := grant.Load{PrefillRate: 5000, EventTime: 60 * time.Millisecond, Running: 3}
	for name, tc := range map[string]struct {
		load     grant.Load
		tokens   int
		pauseMax time.Duration
		want     float64
	}{
		"usual speed":                       {grant.Load{Running: 3}, 20_000, 400 * time.Millisecond, 0},
		"usual speed, above the burst":      {grant.Load{Running: 3, BurstMax: 1000}, 1001, 400 * time.Millisecond, 3 * streamPauseSeconds},
		"no bound":                          {slow, 20_000, 0, 0},
		"short prompt":                      {slow, 1700, 400 * time.Millisecond, 0},
		"prompt and decoding step too long": {slow, 1701, 400 * time.Millisecond, 4 * streamPauseSeconds},
		"no stream but its own":             {grant.Load{PrefillRate: 5000}, 2001, 400 * time.Millisecond, streamPauseSeconds},
		"events too long":                   {grant.Load{EventTime: 401 * time.Millisecond, Running: 1}, 10, 400 * time.Millisecond, 2 * streamPauseSeconds},
		"many streams":                      {grant.Load{PrefillRate: 5000, Running: 30}, 2001, 400 * time.Millisecond, streamPausesMaxSeconds},
	} {
		me := &member{load: Load{Load: tc.load}}
		if got := me.latePenalty(&Request{PromptTokens: tc.tokens, Goals: Goals{PauseMax: tc.pauseMax}}); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%s: the penalty is %g, want %g", name, got, tc.want)
		}
	}
}

func TestWaitBudgetFollowsFromHowLongCallersWait(t *testing.T) {
	for name, tc := range map[string]struct {
		goals        Goals
		remaining    time.Duration
		want         time.Duration
		wantOnTimeMs float64
	}{
		"no goal":             {Goals{}, time.Minute, 3500 * time.Millisecond, 500},
		"no goal but a bound": {Goals{PauseMax: time.Second}, time.Minute, 3500 * time.Millisecond, 500},
		"goal of 1 s":         {Goals{FirstEvent: time.Second, PauseMax: 400 * time.Millisecond}, time.Minute, 3500 * time.Millisecond, 500},
		"goal of 2 s":         {Goals{FirstEvent: 2 * time.Second, PauseMax: 400 * time.Millisecond}, time.Minute, 7500 * time.Millisecond, 1000},
		"short goal":          {Goals{FirstEvent: 300 * time.Millisecond}, time.Minute, 1500 * time.Millisecond, 150},
		"long pauses":         {Goals{FirstEvent: 300 * time.Millisecond, PauseMax: time.Second}, time.Minute, 7500 * time.Millisecond, 150},
		"little time left":    {Goals{FirstEvent: 2 * time.Second}, 700 * time.Millisecond, 700 * time.Millisecond, 1000},
	} {
		if got := tc.goals.WaitBudget(tc.remaining); got != tc.want {
			t.Errorf("%s: the wait budget is %s, want %s", name, got, tc.want)
		}
		if got := 1000 * tc.goals.onTimeSeconds(); got != tc.wantOnTimeMs {
			t.Errorf("%s: a first byte is on time after %g ms, want %g ms", name, got, tc.wantOnTimeMs)
		}
	}
}

// overload sends requests to an engine for 20 s, 1.3 times as fast as it reads their prompts, and returns how many
// are refused, and how many are served before their callers leave and after.
func overload(t *testing.T, goals Goals, patience time.Duration) (refused, served, vain int) {
	t.Helper()
	fl := fleetOf("e1")
	rq := requestFor("")
	rq.Goals, rq.PromptTokens = goals, 2400
	prefill := grant.PrefillTime(rq.PromptTokens)
	readBy := start
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(prefill * 10 / 13) {
		fl.AgentReported("e1", Load{Load: grant.Load{Known: true, Model: "m", MemoryFree: 1_000_000, Backlog: max(0, readBy.Sub(now))}, ReportedAt: now}, nil)
		ch := mustChoose(t, fl, rq, now)
		if _, ok := ch.Admit(time.Minute); !ok {
			refused++
			continue
		}
		readBy = later(readBy, now).Add(prefill)
		if readBy.Sub(now) <= patience {
			served++
		} else {
			vain++
		}
	}
	return refused, served, vain
}

// An engine gets more than it can read for 20 s. With one budget for all routes, requests with a short goal are
// prefilled for callers that have left, and requests with a long goal are refused that their callers would wait for.
func TestBurstIsAdmittedForAsLongAsCallersWait(t *testing.T) {
	short, long := Goals{FirstEvent: 300 * time.Millisecond}, Goals{FirstEvent: 2 * time.Second, PauseMax: 400 * time.Millisecond}
	_, served, vain := overload(t, short, 2*time.Second)
	_, fixedServed, fixedVain := overload(t, Goals{}, 2*time.Second)
	t.Logf("callers that wait for 2 s: %d served, %d in vain; with the fixed budget %d and %d", served, vain, fixedServed, fixedVain)
	if vain > 0 || fixedVain == 0 || served < fixedServed {
		t.Errorf("callers that wait for 2 s: %d served, %d in vain; with the fixed budget %d and %d", served, vain, fixedServed, fixedVain)
	}
	refused, _, vain := overload(t, long, 8*time.Second)
	fixedRefused, _, _ := overload(t, Goals{}, 8*time.Second)
	t.Logf("callers that wait for 8 s: %d refused, %d in vain; with the fixed budget %d refused", refused, vain, fixedRefused)
	if vain > 0 || refused >= fixedRefused {
		t.Errorf("callers that wait for 8 s: %d refused, %d in vain; with the fixed budget %d refused", refused, vain, fixedRefused)
	}
}

// A request whose goal leaves it time waits for an engine that has its adapter; one that would be late is worth a
// further fetch.
func TestAdapterIsFetchedAgainOnlyIfTheRequestWouldBeLateByItsGoal(t *testing.T) {
	for goal, want := range map[time.Duration]string{0: "e2", time.Second: "e2", 2 * time.Second: "e1"} {
		fl, rq := fleetOf("e1", "e2"), requestFor("x")
		rq.Goals.FirstEvent = goal
		fl.AgentReported("e1", Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 100_000, Backlog: 1100 * time.Millisecond}, ReportedAt: start},
			[]AdapterSlot{{Adapter: "x", Version: 1, Ready: true}})
		if ch := mustChoose(t, fl, rq, start); ch.ID != want {
			t.Errorf("goal %s: chose %s with a wait of %s, want %s", goal, ch.ID, ch.Wait, want)
		}
	}
}

// Whatever the route's goals, a plain service is chosen and refused as before.
func TestPlainServicesHaveNoGoals(t *testing.T) {
	for _, goals := range []Goals{{}, {FirstEvent: 100 * time.Millisecond}, {FirstEvent: 5 * time.Second, PauseMax: time.Second}} {
		fl := &Fleet{}
		fl.Put(Server{ID: "p1", Service: "advice", Zone: "z1", Region: "r1", Places: 1})
		for range 80 {
			fl.Sent("p1", 0, start)
		}
		rq := requestFor("")
		rq.Goals = goals
		ch := mustChoose(t, fl, rq, start)
		if retryAfter, ok := ch.Admit(time.Minute); ok || retryAfter != ch.Wait-firstByteWaitMax+retryAfterMin {
			t.Errorf("goals %v: with a wait of %s, admitted is %v and the retry is after %s", goals, ch.Wait, ok, retryAfter)
		}
		if want := ch.Wait.Seconds()*waitWeight + (ch.Wait-onTimeWait).Seconds()*lateWeight; math.Abs(ch.Cost-want) > 1e-6 {
			t.Errorf("goals %v: the cost is %g, want %g", goals, ch.Cost, want)
		}
	}
}
