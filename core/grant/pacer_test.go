package grant

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"
)

const (
	// prefillChunkTokens is the number of tokens that the simulated engine prefills between two
	// decoding steps; its streams emit an event after every stepsPerEvent steps.
	prefillChunkTokens = 2048
	stepsPerEvent      = 3
	// stepsPerStream is the number of steps in a stream.
	stepsPerStream = 15
	stepTime       = 14 * time.Millisecond
)

// prefillSimulator simulates an engine that prefills granted prompts in chunks between the
// decoding steps of its streams. Each stream emits an event after a number of steps.
type prefillSimulator struct {
	dr *driver
	// prefillRate is in tokens a second.
	prefillRate float64
	queue       []prompt
	promptIDs   []string
	stepTimes   []time.Time
	// inTransit holds the granted prompts that have not reached the engine: the grant and the
	// request take longer than the rest of a step.
	inTransit []string
	// streams maps the running streams to the step at which each began.
	streams    map[string]int
	lateEvents int
	events     int
}

// step prefills a chunk, if any prompt is waiting, and advances the streams by one step.
func (ps *prefillSimulator) step() {
	took, budget := stepTime, prefillChunkTokens
	prefilled := []string(nil)
	for len(ps.queue) > 0 && budget > 0 {
		part := min(budget, ps.queue[0].tokens)
		ps.queue[0].tokens -= part
		budget -= part
		took += time.Duration(float64(part) / ps.prefillRate * float64(time.Second))
		if ps.queue[0].tokens == 0 {
			prefilled = append(prefilled, ps.promptIDs[0])
			ps.queue, ps.promptIDs = ps.queue[1:], ps.promptIDs[1:]
		}
	}
	ps.dr.now = ps.dr.now.Add(took)
	for _, id := range prefilled {
		ps.dr.record(ps.dr.en.Started(id, ps.dr.now))
		ps.streams[id] = len(ps.stepTimes)
	}
	ps.dr.record(ps.dr.en.Tick(ps.dr.now))
	ps.stepTimes = append(ps.stepTimes, ps.dr.now)
	if count := len(ps.stepTimes); count > stepsPerEvent {
		ps.events++
		if pause := ps.stepTimes[count-1].Sub(ps.stepTimes[count-1-stepsPerEvent]); pause > 400*time.Millisecond {
			ps.lateEvents++
		}
	}
}

// releaseFinished ends the completed streams and, if reportPauses is set, reports the longest
// pause of each.
func (ps *prefillSimulator) releaseFinished(reportPauses bool) {
	for _, id := range slices.Sorted(maps.Keys(ps.streams)) {
		first := ps.streams[id]
		if len(ps.stepTimes) < first+stepsPerStream {
			continue
		}
		longest := time.Duration(0)
		for ix := first; reportPauses && ix+stepsPerEvent < len(ps.stepTimes); ix++ {
			longest = max(longest, ps.stepTimes[ix+stepsPerEvent].Sub(ps.stepTimes[ix]))
		}
		delete(ps.streams, id)
		ps.dr.record(ps.dr.en.Release(id, longest, ps.dr.now))
	}
}

// deliverGranted moves the prompts granted one step ago to the engine.
func (ps *prefillSimulator) deliverGranted(tokens map[string]int) {
	for _, id := range ps.inTransit {
		ps.queue = append(ps.queue, prompt{tokens: tokens[id]})
		ps.promptIDs = append(ps.promptIDs, id)
	}
	ps.inTransit, ps.dr.granted = ps.dr.granted, nil
}

// simulatePrompts sends clumps of prompts to a slow engine. It returns the share of events that
// came later than callers tolerate and the number of prompts that wait neither at the agent nor at
// the engine.
func simulatePrompts(t *testing.T, reportPauses bool) (lateShare float64, prefilled int) {
	ps := &prefillSimulator{dr: newDriver(t, 6, "x"), prefillRate: 14_700, streams: map[string]int{}}
	const clumpSize = 4
	tokens := map[string]int{}
	next := ps.dr.now
	for ix := 0; ps.dr.now.Sub(testStart) < 90*time.Second; {
		for ; !next.After(ps.dr.now); ix++ {
			id := "r" + strconv.Itoa(ix)
			tokens[id] = 500 + 1300*(ix%3)
			ps.dr.record(ps.dr.en.Reserve(Request{
				Attempt: id, Entry: "entry", Key: Key{Model: testModel, Adapter: "x"}, PromptTokens: tokens[id],
				PauseMax: 400 * time.Millisecond, Deadline: ps.dr.now.Add(time.Minute),
			}, ps.dr.now))
			if ix%clumpSize == clumpSize-1 {
				next = next.Add(clumpSize * time.Second / 7)
			}
		}
		ps.deliverGranted(tokens)
		ps.step()
		ps.releaseFinished(reportPauses)
	}
	return float64(ps.lateEvents) / float64(ps.events), len(tokens) - len(ps.queue) - len(ps.dr.en.queue)
}

// Guards against streams that pause for longer than callers tolerate. An engine a third slower
// than the others reaches that when it prefills several prompts in a row.
func TestLimitedBurstsKeepPausesShortOnASlowEngine(t *testing.T) {
	unlimitedShare, unlimitedPrompts := simulatePrompts(t, false)
	limitedShare, limitedPrompts := simulatePrompts(t, true)
	t.Logf("share of late events: %.3f without a burst limit, %.3f with it; prompts prefilled: %d, %d", unlimitedShare, limitedShare, unlimitedPrompts, limitedPrompts)
	if unlimitedShare < 0.1 {
		t.Errorf("%.3f of the events are late without a burst limit: the simulation does not overload the engine", unlimitedShare)
	}
	if limitedShare > 0.05 {
		t.Errorf("%.3f of the events are late with a burst limit", limitedShare)
	}
	if float64(limitedPrompts) < 0.85*float64(unlimitedPrompts) {
		t.Errorf("%d prompts were prefilled with a burst limit, %d without", limitedPrompts, unlimitedPrompts)
	}
}

func TestPromptWithoutPrefillReportDoesNotBlockOthers(t *testing.T) {
	dr := newDriver(t, 6, "x")
	for range 3 {
		dr.en.pacer.recordPause(500*time.Millisecond, 400*time.Millisecond, dr.now)
	}
	for ix := range 8 {
		dr.reserve("a"+strconv.Itoa(ix), "x", 0, false)
	}
	if len(dr.granted) == 8 {
		t.Fatal("all prompts were granted at once despite the burst limit")
	}
	for range 100 {
		dr.now = dr.now.Add(100 * time.Millisecond)
		dr.record(dr.en.Tick(dr.now))
	}
	if len(dr.granted)+len(dr.refused) < 8 {
		t.Errorf("%d of 8 prompts were granted or refused after 10 s", len(dr.granted)+len(dr.refused))
	}
}

func TestPrefillRateIsMeasuredAndResetOnRestart(t *testing.T) {
	pa := &pacer{}
	now := testStart
	for ix := range 60 {
		id := strconv.Itoa(ix)
		pa.promptGranted(id, 2000, now)
		now = now.Add(200 * time.Millisecond)
		pa.prefillDone(id, now)
	}
	if rate := pa.tokensPerSecond(); rate < 9_900 || rate > 10_500 {
		t.Errorf("measured %.0f tokens a second, the engine prefills 10,000", rate)
	}
	pa.promptGranted("slow", 2000, now)
	now = now.Add(10 * time.Second)
	pa.expirePrompts(now)
	if rate := pa.tokensPerSecond(); rate < 9_900 {
		t.Errorf("a prompt without a prefill report changed the rate to %.0f", rate)
	}
	pa.reset()
	if rate := pa.tokensPerSecond(); rate != DefaultPrefillRate {
		t.Errorf("the rate after a restart is %.0f tokens a second", rate)
	}
}

func TestOnlyPausesCausedByPrefillLimitBursts(t *testing.T) {
	for name, tc := range map[string]struct {
		longest, tolerated time.Duration
		limited            bool
	}{
		"longer than tolerated":      {450 * time.Millisecond, 400 * time.Millisecond, true},
		"within the tolerance":       {390 * time.Millisecond, 400 * time.Millisecond, false},
		"host stopped for seconds":   {4 * time.Second, 400 * time.Millisecond, false},
		"any pause is tolerated":     {450 * time.Millisecond, 0, false},
		"longest pause is not known": {0, 400 * time.Millisecond, false},
	} {
		pa := &pacer{}
		for range 3 {
			pa.recordPause(tc.longest, tc.tolerated, testStart)
		}
		if limited := pa.burstLimit(0, testStart) > 0; limited != tc.limited {
			t.Errorf("%s: bursts limited: %v", name, limited)
		}
		if pa.burstLimit(0, testStart.Add(burstLimitTime)) != 0 {
			t.Errorf("%s: bursts are still limited after burstLimitTime", name)
		}
	}
}
