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
		"prompt and decoding step too long": {slow, 1701, 400 * time.Millisecond, 3 * streamPauseSeconds},
		"no stream":                         {grant.Load{PrefillRate: 5000}, 2001, 400 * time.Millisecond, 0},
		"events too long":                   {grant.Load{EventTime: 401 * time.Millisecond, Running: 1}, 10, 400 * time.Millisecond, 2 * streamPauseSeconds},
		"many streams":                      {grant.Load{PrefillRate: 5000, Running: 30}, 2001, 400 * time.Millisecond, streamPausesMaxSeconds},
	} {
		me := &member{load: Load{Load: tc.load}}
		if got := me.latePenalty(&Request{PromptTokens: tc.tokens, Goals: Goals{PauseMax: tc.pauseMax}}); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%s: the penalty is %g, want %g", name, got, tc.want)
		}
	}
}
