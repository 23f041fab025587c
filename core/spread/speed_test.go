package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// replayEngine is an engine that prefills prompts one after the other at its own speed.
type replayEngine struct {
	id, zone string
	slowness float64
	readyAt  time.Time
	running  int
	// sent is the report that is on its way to the entry nodes.
	sent Load
	// took and expected are the sums of measured and expected waits.
	took, expected time.Duration
}

// replayRequest is a request that waits for its first event, or runs until its end.
type replayRequest struct {
	choice         Choice
	fleet          *Fleet
	engine         *replayEngine
	sentAt, readAt time.Time
	endAt          time.Time
	// measured is true once the first event has come, paused once the stream has paused for too long.
	measured, paused bool
}

// speedReplay is a load on engines of different speeds whose reports reach the entry nodes late.
type speedReplay struct {
	now, start time.Time
	rng        *rand.Rand
	engines    []*replayEngine
	fleets     []*Fleet
	requests   []*replayRequest
	// told is true if the agents report the speeds of their engines.
	told bool
	// uncounted is true if entry nodes don't count what they have sent since the last report, unlimited if agents
	// don't refuse requests beyond the expected backlog.
	uncounted, unlimited bool
	// zones is the number of zones, zero for one.
	zones int
	// freeCrossing is true if entry nodes prefer no zone, noCrossing if they use only engines of their own.
	freeCrossing, noCrossing bool
	// goals are those of the route.
	goals              Goals
	reportEvery, delay time.Duration
	warmUp             time.Duration
	// paused is the number of streams that paused for longer than replayPauseMax.
	total, late, paused int
}

// replayPauseMax is the longest pause of a stream that callers accept.
const replayPauseMax = 400 * time.Millisecond

func newSpeedReplay(seed uint64, entries int, told bool, slowness ...float64) *speedReplay {
	sr := &speedReplay{now: start, start: start, rng: rand.New(rand.NewPCG(seed, 1)), told: told, reportEvery: 300 * time.Millisecond, delay: 100 * time.Millisecond}
	for range entries {
		sr.fleets = append(sr.fleets, &Fleet{})
	}
	for ix, slow := range slowness {
		re := &replayEngine{id: fmt.Sprintf("e%02d", ix), zone: "z1", slowness: slow, readyAt: start}
		sr.engines = append(sr.engines, re)
		sr.put(re)
	}
	return sr
}

// put tells all entry nodes of an engine that is idle.
func (sr *speedReplay) put(re *replayEngine) {
	re.sent = sr.report(re)
	for _, fl := range sr.fleets {
		fl.Put(Server{ID: re.id, Service: "advice", Zone: re.zone, Region: "r1", Engine: true, Model: "m", Born: 1})
		fl.AgentReported(re.id, re.sent, []AdapterSlot{{Adapter: re.id, Version: 1, Ready: true}})
	}
}

// report returns the report of an engine's agent. Without a measured rate, the agent assumes the usual one.
func (sr *speedReplay) report(re *replayEngine) Load {
	lo := Load{ReportedAt: sr.now, Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 1_000_000, Running: re.running, Backlog: max(0, re.readyAt.Sub(sr.now))}}
	switch {
	case sr.told && re.slowness > 1:
		lo.PrefillRate = int(usualPrefillRate / re.slowness)
		lo.EventTime = time.Duration(re.slowness * float64(usualEventTime))
	default:
		lo.Backlog = time.Duration(float64(lo.Backlog) / re.slowness)
	}
	return lo
}

// step advances the reports and the requests to the next step of the clock.
func (sr *speedReplay) step(ix int) {
	sr.now = sr.start.Add(time.Duration(ix) * simStep)
	for nr, re := range sr.engines {
		phase := (sr.now.Sub(sr.start) + sr.phase(nr)) % sr.reportEvery
		if phase == 0 {
			re.sent = sr.report(re)
		}
		if phase != sr.delay {
			continue
		}
		re.sent.ReportedAt = sr.now
		for _, fl := range sr.fleets {
			fl.AgentReported(re.id, re.sent, nil)
		}
	}
	sr.requests = slices.DeleteFunc(sr.requests, sr.ended)
}

// phase spreads the reports of the engines over the interval.
func (sr *speedReplay) phase(nr int) time.Duration { return time.Duration(7*nr) * simStep }

// ended measures the first event of a request, and reports whether the request has ended.
func (sr *speedReplay) ended(rq *replayRequest) bool {
	if !rq.measured && !sr.now.Before(rq.readAt) {
		rq.measured = true
		took := rq.readAt.Sub(rq.sentAt)
		rq.fleet.MeasuredFirstByte(&rq.choice, took)
		rq.engine.running++
		if rq.sentAt.Sub(sr.start) >= sr.warmUp {
			rq.engine.took += took
			rq.engine.expected += rq.choice.QueueWait
			if took > simLatencyTarget {
				sr.late++
			}
		}
	}
	if sr.now.Before(rq.endAt) {
		return false
	}
	rq.engine.running--
	rq.fleet.Done(rq.engine.id)
	return true
}

// arrive sends a request for an adapter from an entry node to the engine that it chooses, or to its second choice if
// the first one's agent refuses it as busier than expected. Each engine has the adapter of its own name.
func (sr *speedReplay) arrive(entry int, adapter string) *replayEngine {
	fl := sr.fleets[entry]
	rq := Request{Service: "advice", Model: "m", Adapter: adapter, PromptTokens: 500 + sr.rng.IntN(3600), Goals: sr.goals, Zone: sr.zone(entry), Region: "r1"}
	sr.limitCrossing(&rq)
	ch, re := sr.choose(fl, rq)
	if lo := sr.report(re); ch.BacklogMax > 0 && !sr.unlimited && lo.Backlog > ch.BacklogMax {
		fl.Done(re.id)
		fl.AgentReported(re.id, lo, nil)
		ch, re = sr.choose(fl, rq)
	}
	if sr.now.Sub(sr.start) >= sr.warmUp {
		sr.total++
	}
	sr.stall(re, time.Duration(re.slowness*float64(grant.PrefillTime(rq.PromptTokens)+usualEventTime)))
	re.readyAt = later(re.readyAt, sr.now).Add(time.Duration(re.slowness * float64(grant.PrefillTime(rq.PromptTokens))))
	readAt := re.readyAt.Add(time.Duration(re.slowness * runningSeconds * float64(re.running) * float64(time.Second)))
	streams := time.Duration(re.slowness * float64(400+sr.rng.IntN(1600)) * float64(time.Millisecond))
	sr.requests = append(sr.requests, &replayRequest{choice: ch, fleet: fl, engine: re, sentAt: sr.now, readAt: readAt, endAt: readAt.Add(streams)})
	return re
}

// stall counts the streams of an engine that a prompt stalls for too long.
func (sr *speedReplay) stall(re *replayEngine, pause time.Duration) {
	for _, rq := range sr.requests {
		if rq.engine == re && rq.measured && !rq.paused && pause > replayPauseMax {
			rq.paused = true
			sr.paused++
		}
	}
}

// zone returns the zone of an engine or entry node.
func (sr *speedReplay) zone(nr int) string { return fmt.Sprintf("z%d", 1+nr%max(1, sr.zones)) }

// limitCrossing changes a request where entry nodes do not weigh a crossing of zones.
func (sr *speedReplay) limitCrossing(rq *Request) {
	for _, re := range sr.engines {
		if sr.noCrossing && re.zone != rq.Zone {
			rq.Exclude = append(rq.Exclude, re.id)
		}
	}
	if sr.freeCrossing {
		rq.Zone = ""
	}
}

// choose chooses an engine and counts the request there.
func (sr *speedReplay) choose(fl *Fleet, rq Request) (Choice, *replayEngine) {
	ch, ok := fl.Choose(rq, sr.now)
	if !ok {
		panic("no engine can be chosen")
	}
	if !sr.uncounted {
		fl.Sent(ch.ID, rq.PromptTokens, sr.now)
	}
	ix := slices.IndexFunc(sr.engines, func(re *replayEngine) bool { return re.id == ch.ID })
	return ch, sr.engines[ix]
}

func later(aa, bb time.Time) time.Time {
	if aa.After(bb) {
		return aa
	}
	return bb
}

// run replays arrivals at random times of requests for the adapters of all engines.
func (sr *speedReplay) run(duration time.Duration, perSecond float64) {
	for ix := range int(duration / simStep) {
		sr.step(ix)
		if sr.rng.Float64() < perSecond*simStep.Seconds() {
			sr.arrive(sr.rng.IntN(len(sr.fleets)), sr.engines[sr.rng.IntN(len(sr.engines))].id)
		}
	}
}

// unequal are the speeds of a fleet in which a third of the engines is three to four times slower.
var unequal = []float64{1, 1, 1, 1, 1, 1, 1, 1, 3, 3.5, 4, 4}

// ratio returns the measured over the expected wait on an engine.
func (re *replayEngine) ratio() float64 { return re.took.Seconds() / re.expected.Seconds() }

// A third of the engines takes 3 to 4 times as long as the others. If entry nodes expect the usual speed of
// them, their first events take longer than expected all day, even after corrections by what was measured.
func TestExpectedWaitFollowsTheReportedSpeedOfUnequalEngines(t *testing.T) {
	for seed := range uint64(3) {
		with, without := newSpeedReplay(seed, 4, true, unequal...), newSpeedReplay(seed, 4, false, unequal...)
		for _, sr := range []*speedReplay{with, without} {
			sr.warmUp = 10 * time.Second
			sr.run(4*time.Minute, 10)
		}
		t.Logf("seed %d: %d of %d late, without reported speeds %d of %d", seed, with.late, with.total, without.late, without.total)
		if 2*with.late > without.late {
			t.Errorf("seed %d: %d late, want at most half of the %d without reported speeds", seed, with.late, without.late)
		}
		wrong := 0
		for ix, re := range with.engines {
			ratio, other := re.ratio(), without.engines[ix].ratio()
			t.Logf("  %s, slowness %.1f: measured over expected %.2f, without reported speeds %.2f", re.id, re.slowness, ratio, other)
			if !(ratio >= 0.9 && ratio <= 1.1) {
				t.Errorf("seed %d: measured over expected wait of %s is %.2f, want 0.9 to 1.1", seed, re.id, ratio)
			}
			if other < 0.9 || other > 1.1 {
				wrong++
			}
		}
		if wrong == 0 {
			t.Errorf("seed %d: the expected waits are as good without reported speeds: the replay shows nothing", seed)
		}
	}
}

func TestUsualRateIsTheOneThatGrantsAssume(t *testing.T) {
	if got := grant.PrefillTime(usualPrefillRate); got != time.Second {
		t.Errorf("the tokens of a second take %s at the assumed rate", got)
	}
}

// reportRate records a report of an idle engine with a prefill rate.
func reportRate(fl *Fleet, id string, rate int, now time.Time) {
	fl.AgentReported(id, Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 100_000, PrefillRate: rate}, ReportedAt: now}, nil)
}

// The latency ratio of an engine has learnt that it takes four times as long as expected before its agent reports
// the same. Together they would make the expected wait many times too long, and no request would correct it.
func TestSlownessIsNotCountedTwiceWhenAnEngineBeginsOrCeasesToReportIt(t *testing.T) {
	const slowness = 4
	actual := slowness * grant.PrefillTime(4000)
	fl, rq := fleetOf("e1"), requestFor("")
	rq.PromptTokens = 4000
	measure := func(took time.Duration) float64 {
		ch := mustChoose(t, fl, rq, start)
		fl.MeasuredFirstByte(&ch, took)
		return took.Seconds() / ch.QueueWait.Seconds()
	}
	for range 100 {
		measure(actual)
	}
	if ratio := measure(actual); ratio < 0.95 || ratio > 1.05 {
		t.Fatalf("the ratio of a slow engine that does not report it has settled at %.2f, want 1", ratio)
	}
	inFlight := mustChoose(t, fl, rq, start)
	reportRate(fl, "e1", usualPrefillRate/slowness, start)
	fl.MeasuredFirstByte(&inFlight, 3*actual)
	if ratio := measure(actual); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("measured over expected is %.2f once the engine has begun to report its rate, want about 1", ratio)
	}
	for range 10 {
		measure(actual / 2)
	}
	reportRate(fl, "e1", 0, start)
	if ratio := measure(actual / slowness); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("measured over expected is %.2f once the engine is at its usual speed again, want about 1", ratio)
	}
}

func TestEngineThatReportsMoreThanTheUsualSpeedGainsNothing(t *testing.T) {
	fl, rq := fleetOf("e1", "e2"), requestFor("")
	reportRate(fl, "e2", 100*usualPrefillRate, start)
	ch := mustChoose(t, fl, rq, start)
	if ch.Candidates[0].Cost != ch.Candidates[1].Cost {
		t.Errorf("engines of usual and of more than usual speed cost %v", ch.Candidates[:2])
	}
	reportRate(fl, "e2", 1, start)
	fl.Sent("e2", 1_000_000, start)
	if wait := fl.members["e2"].promptWait(&rq, start); wait <= 0 || wait > 10_000 {
		t.Errorf("a wrong rate gives a wait of %g s", wait)
	}
}

// A prompt that was sent since the last report counts at the engine's own rate, so that a second one goes elsewhere.
func TestSentPromptsCountAtTheOwnRateOfTheEngine(t *testing.T) {
	fl := fleetOf("e1")
	reportRate(fl, "e1", usualPrefillRate/4, start)
	fl.Sent("e1", 1700, start)
	if got := fl.members["e1"].expectedBacklog(start).Round(time.Millisecond); got != 400*time.Millisecond {
		t.Errorf("the backlog after 1,700 tokens at a quarter of the usual rate is %s, want 400 ms", got)
	}
}

// Running streams and full memory delay a first event by as much longer as the engine decodes more slowly.
func TestDecodingCountsAtTheOwnSpeedOfTheEngine(t *testing.T) {
	for name, tc := range map[string]struct {
		load grant.Load
		want time.Duration
	}{
		"usual speed":         {grant.Load{Running: 10, MemoryFree: 1}, 40 * time.Millisecond},
		"by the event time":   {grant.Load{Running: 10, MemoryFree: 1, EventTime: 3 * usualEventTime}, 120 * time.Millisecond},
		"by the prefill rate": {grant.Load{Running: 10, MemoryFree: 1, PrefillRate: usualPrefillRate / 2}, 80 * time.Millisecond},
		"by both":             {grant.Load{Running: 10, MemoryFree: 1, PrefillRate: usualPrefillRate / 2, EventTime: 3 * usualEventTime}, 120 * time.Millisecond},
		"faster than usual":   {grant.Load{Running: 10, MemoryFree: 1, EventTime: usualEventTime / 2}, 40 * time.Millisecond},
		"full memory":         {grant.Load{MemoryFree: 0, EventTime: 3 * usualEventTime}, 2400 * time.Millisecond},
	} {
		fl, rq := fleetOf("e1"), requestFor("")
		rq.PromptTokens = 1
		fl.AgentReported("e1", Load{Load: tc.load, ReportedAt: start}, nil)
		wait := time.Duration(fl.members["e1"].promptWait(&rq, start) * float64(time.Second))
		if got := wait.Round(time.Millisecond); got != tc.want {
			t.Errorf("%s: the wait is %s, want %s", name, got, tc.want)
		}
	}
}
