package grant

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// engineModel is a model of an engine with its agent and an entry node. The engine works in steps: each reads a piece of
// the prompts and makes a token for each stream; a stream has an event after two or three tokens.
type engineModel struct {
	dr *driver
	// rd draws what the network and the engine do, arrivals what callers do, so that the latter does not depend on the
	// former.
	rd, arrivals *rand.Rand
	// rate is the number of tokens a second at which pieces of at most piece tokens are read.
	rate  float64
	piece int
	// perSecond is the number of requests a second, outputs the number of output tokens of the longest.
	perSecond float64
	outputs   int
	// slowness returns the factor by which everything takes longer at a time since the start.
	slowness func(at time.Duration) float64
	// stall returns for how long the engine does nothing before its next step.
	stall func() time.Duration
	// noRuns is true if the engine does not report its running requests, emptyRuns if it reports that there are none.
	noRuns, emptyRuns bool
	// unmeasured is true if the agent does not use what it measures.
	unmeasured bool
	// waiting holds the requests that wait for a grant, runs those that run.
	waiting map[string]*modelRun
	runs    []*modelRun
	coming  []modelEvent
	next    int
	// longPauses counts the streams that paused for longer than 400 ms, streams all that have ended.
	longPauses, streams int
	// waits holds the times to the first events.
	waits []time.Duration
	// changes holds the times at which the engine began and ceased to count as slow.
	changes []time.Duration
}

// modelRun is a request that runs on the model of an engine.
type modelRun struct {
	id                 string
	arrived            time.Duration
	prompt, read       int
	output, made       int
	events, untilEvent int
	lastEvent, longest time.Duration
}

// modelEvent is something that happens at a time since the start.
type modelEvent struct {
	at time.Duration
	do func()
}

// newEngineModel returns the model of an engine of usual speed.
func newEngineModel(t *testing.T, seed uint64) *engineModel {
	return &engineModel{
		dr: newDriver(t, 6, "x"), rd: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), rate: 22_000, piece: 1024, perSecond: 3, outputs: 600,
		waiting: map[string]*modelRun{}, slowness: func(time.Duration) float64 { return 1 }, stall: func() time.Duration { return 0 },
	}
}

// at returns the time since the start.
func (em *engineModel) at() time.Duration { return em.dr.now.Sub(testStart) - time.Minute }

// after lets something happen later.
func (em *engineModel) after(delay time.Duration, do func()) {
	ev := modelEvent{em.at() + delay, do}
	ix, _ := slices.BinarySearchFunc(em.coming, ev, func(aa, bb modelEvent) int { return int(aa.at - bb.at) })
	em.coming = slices.Insert(em.coming, ix, ev)
}

// network returns the delay of a message.
func (em *engineModel) network() time.Duration {
	return time.Millisecond + time.Duration(em.rd.Float64()*float64(14*time.Millisecond))
}

// arrive reserves the next request and schedules the one after it.
func (em *engineModel) arrive() {
	em.next++
	ru := &modelRun{arrived: em.at(), id: "r" + strconv.Itoa(em.next), prompt: 2000 + em.arrivals.IntN(800), output: 1 + em.arrivals.IntN(em.outputs)}
	switch em.arrivals.IntN(10) {
	case 0:
		ru.prompt = 9000
	case 1, 2:
		ru.prompt = 1500
	}
	em.waiting[ru.id] = ru
	em.execute(em.dr.en.Reserve(Request{
		Attempt: ru.id, Entry: "entry", Key: Key{Model: testModel, Adapter: "x"}, PromptTokens: ru.prompt, PauseMax: 400 * time.Millisecond,
		Deadline: em.dr.now.Add(time.Minute),
	}, em.dr.now))
	em.after(time.Duration(em.arrivals.ExpFloat64()/em.perSecond*float64(time.Second)), em.arrive)
}

// execute carries out the agent's actions.
func (em *engineModel) execute(actions []Action) {
	for _, ac := range actions {
		switch {
		case ac.Grant != nil:
			ru := em.waiting[ac.Grant.Attempt]
			delete(em.waiting, ru.id)
			em.after(em.network()+em.network(), func() { em.runs = append(em.runs, ru) })
		case ac.Inspect != nil:
			em.after(time.Millisecond, em.inspect)
		}
	}
}

// inspect reports the state of the engine.
func (em *engineModel) inspect() {
	ob := Observation{Born: em.dr.born, MemoryTotal: 10_000_000, Coming: map[Key]int{}, Models: []Model{{Name: testModel, Adapters: map[string]int{"x": 1}}}}
	for ix := 0; ix < len(em.runs) && !em.emptyRuns; ix++ {
		ru := em.runs[ix]
		ob.Runs = append(ob.Runs, Run{ID: ru.id, Tokens: ru.read + ru.made, Events: ru.events})
	}
	ob.RunsKnown = !em.noRuns
	delay := time.Duration(em.rd.Float64() * float64(4*time.Millisecond))
	em.after(delay, func() { em.execute(em.dr.en.InspectionDone(ob, em.dr.now)) })
}

// step carries out a step of the engine and what happens during it.
func (em *engineModel) step() {
	budget, streams := em.piece, 0
	parts := make([]int, len(em.runs))
	for ix, ru := range em.runs {
		parts[ix] = min(budget, ru.prompt-ru.read)
		budget -= parts[ix]
		if ru.read == ru.prompt {
			streams++
		}
	}
	took := time.Duration(float64(8*time.Millisecond) + 40e3*float64(streams) + float64(em.piece-budget)/em.rate*1e9)
	running := len(em.runs)
	em.pass(em.at() + time.Duration(float64(took)*em.slowness(em.at())) + em.stall())
	for ix, ru := range slices.Clone(em.runs[:running]) {
		whole := ru.read == ru.prompt
		ru.read += parts[ix]
		if whole {
			em.makeToken(ru)
		}
	}
}

// makeToken makes a token of a stream.
func (em *engineModel) makeToken(ru *modelRun) {
	ru.made++
	ru.untilEvent--
	if ru.untilEvent <= 0 || ru.made == ru.output {
		ru.events++
		ru.untilEvent = 2 + em.rd.IntN(2)
		if ru.events == 1 {
			em.waits = append(em.waits, em.at()-ru.arrived)
			em.after(em.network(), func() { em.execute(em.dr.en.Started(ru.id, em.dr.now)) })
		} else {
			ru.longest = max(ru.longest, em.at()-ru.lastEvent)
		}
		ru.lastEvent = em.at()
	}
	if ru.made < ru.output {
		return
	}
	em.runs = slices.DeleteFunc(em.runs, func(other *modelRun) bool { return other == ru })
	em.streams++
	if ru.longest > 400*time.Millisecond {
		em.longPauses++
	}
	em.after(em.network(), func() { em.execute(em.dr.en.Release(ru.id, ru.longest, em.dr.now)) })
}

// pass lets everything happen that comes until a time since the start.
func (em *engineModel) pass(until time.Duration) {
	for {
		tick := em.dr.en.NextAt(em.dr.now).Sub(testStart) - time.Minute
		due := min(until, max(tick, em.at()+time.Millisecond))
		if len(em.coming) > 0 && em.coming[0].at <= due {
			ev := em.coming[0]
			em.coming = em.coming[1:]
			em.dr.now = testStart.Add(time.Minute + max(ev.at, em.at()))
			ev.do()
			em.noteSpeed()
			continue
		}
		em.dr.now = testStart.Add(time.Minute + due)
		if due == until {
			return
		}
		em.execute(em.dr.en.Tick(em.dr.now))
		em.noteSpeed()
	}
}

// noteSpeed records when the engine begins or ceases to count as slow.
func (em *engineModel) noteSpeed() {
	if em.unmeasured {
		em.dr.en.pacer.speed = speed{}
	}
	if slow := em.dr.en.Speed().Slow; slow != (len(em.changes)%2 == 1) {
		em.changes = append(em.changes, em.at())
	}
}

// run lets the model run for some time.
func (em *engineModel) run(duration time.Duration) {
	if em.next == 0 {
		em.arrive()
	}
	for end := em.at() + duration; em.at() < end; {
		if len(em.runs) == 0 {
			em.pass(em.at() + time.Millisecond)
			continue
		}
		em.step()
	}
}

// loads calls fn with models of an engine for pieces of prompts, requests a second and outputs of different sizes. The number
// of requests is divided by the slowness, so that the engine is about as busy.
func loads(t *testing.T, slowness float64, fn func(build func() *engineModel, name string)) {
	for _, piece := range []int{256, 1024, 4096} {
		for _, perSecond := range []float64{0.5, 2, 4} {
			for _, outputs := range []int{20, 300, 1500} {
				build := func() *engineModel {
					em := newEngineModel(t, uint64(piece+outputs))
					em.slowness = func(time.Duration) float64 { return slowness }
					em.piece, em.perSecond, em.outputs = piece, perSecond/slowness, outputs
					return em
				}
				fn(build, fmt.Sprintf("pieces of %d tokens, %.1f requests a second, outputs up to %d tokens", piece, perSecond/slowness, outputs))
			}
		}
	}
}

// stallEvery lets the engine do nothing for some time every ten seconds.
func (em *engineModel) stallEvery(duration time.Duration) {
	next := 10 * time.Second
	em.stall = func() time.Duration {
		if em.at() < next {
			return 0
		}
		next = em.at() + 10*time.Second
		return duration
	}
}

// Guards against a false verdict on a sound engine, from which entry nodes would then move requests: by its decoding steps, by
// network delays, by prompts that no report shows or by an engine that does nothing for a moment. Grants must come when they
// came before speeds were measured.
func TestEngineOfUsualSpeedIsPacedAsBefore(t *testing.T) {
	for _, rate := range []float64{19_000, 26_000} {
		loads(t, 1, func(build func() *engineModel, name string) {
			em, before := build(), build()
			em.rate, before.rate, before.unmeasured = rate, rate, true
			for _, model := range []*engineModel{em, before} {
				model.stallEvery(stallMax)
				model.run(time.Minute)
			}
			if lo := em.dr.en.Load(em.dr.now); len(em.changes) != 0 || lo.PrefillRate != 0 || lo.EventTime != 0 {
				t.Errorf("%.0f tokens a second, %s: counts as slow at %v, load %+v", rate, name, em.changes, lo)
			}
			if !slices.Equal(em.waits, before.waits) || em.dr.en.Load(em.dr.now) != before.dr.en.Load(em.dr.now) {
				t.Errorf("%.0f tokens a second, %s: the times to the first events or the load differ", rate, name)
			}
		})
	}
}

// Guards against late streams and wrong estimates on an engine that is three times slower than others: its agent must find
// that within 10 s, with a rate that estimates can rely on, and not change its mind.
func TestSlowEngineIsFoundAndItsRateMeasured(t *testing.T) {
	loads(t, 3, func(build func() *engineModel, name string) {
		em := build()
		if em.perSecond < 0.5 || em.outputs < 100 {
			return
		}
		em.run(2 * time.Minute)
		if len(em.changes) != 1 || em.changes[0] > 10*time.Second {
			t.Errorf("%s: began and ceased to count as slow at %v", name, em.changes)
		}
		if lo := em.dr.en.Load(em.dr.now); lo.PrefillRate < 3500 || lo.PrefillRate > 10_000 {
			t.Errorf("%s: measured %d tokens a second, the engine reads up to 7333 between its decoding steps", name, lo.PrefillRate)
		}
		if event := em.dr.en.Speed().EventTime; event != 0 && (event < 50*time.Millisecond || event > 130*time.Millisecond) {
			t.Errorf("%s: measured %s for an event", name, event)
		}
	})
}

// Guards against requests that entry nodes send to an engine during a slow spell of some seconds. Half of the spells must be
// found within 1 s and left within 2 s, and all of them found before they end: prompts come at random, and an engine without
// requests shows nothing.
func TestSlowSpellIsFoundAndItsEndToo(t *testing.T) {
	const period, length, spells = 20 * time.Second, 5 * time.Second, 11
	for _, slowness := range []float64{4, 8} {
		for _, piece := range []int{512, 1024} {
			em := newEngineModel(t, 5)
			em.piece, em.perSecond = piece, 2
			em.slowness = func(at time.Duration) float64 {
				if at%period >= period-length {
					return slowness
				}
				return 1
			}
			em.run(spells*period + period/2)
			if len(em.changes) != 2*spells {
				t.Errorf("%.0f times slower, pieces of %d tokens: %d spells, changes at %v", slowness, piece, spells, em.changes)
				continue
			}
			found, left := []time.Duration(nil), []time.Duration(nil)
			for ix := 0; ix < len(em.changes); ix += 2 {
				found = append(found, em.changes[ix]%period-(period-length))
				left = append(left, em.changes[ix+1]%period)
			}
			slices.Sort(found)
			slices.Sort(left)
			t.Logf("%.0f times slower, pieces of %d tokens: found after %v, left after %v", slowness, piece, found, left)
			if found[spells/2] > time.Second || left[spells/2] > 2*time.Second || found[0] < 0 || found[spells-1] > length {
				t.Errorf("%.0f times slower, pieces of %d tokens: found after %v, left after %v", slowness, piece, found, left)
			}
		}
	}
}

// slowModel returns the model of an engine that is three times slower than others and busy.
func slowModel(t *testing.T) *engineModel {
	em := newEngineModel(t, 8)
	em.slowness = func(time.Duration) float64 { return 3 }
	em.perSecond = 1
	return em
}

// A slow engine that does not report its running requests, or falsely reports that there are none, must gain nothing from that.
func TestSlowEngineWithoutTrueReportsIsFoundByItsBursts(t *testing.T) {
	for name, change := range map[string]func(em *engineModel){
		"no running requests in the report":    func(em *engineModel) { em.noRuns = true },
		"an empty list of running requests":    func(em *engineModel) { em.emptyRuns = true },
		"true reports, for comparison":         func(*engineModel) {},
		"a sound engine without true reports":  func(em *engineModel) { em.noRuns, em.slowness = true, newEngineModel(t, 1).slowness },
		"a sound engine that reports no loads": func(em *engineModel) { em.emptyRuns, em.slowness = true, newEngineModel(t, 1).slowness },
	} {
		em := slowModel(t)
		change(em)
		em.run(time.Minute)
		if slow := em.slowness(0) > 1; em.dr.en.Speed().Slow != slow {
			t.Errorf("%s: slow %v, measured %+v", name, !slow, em.dr.en.Speed())
		}
	}
}

// An engine that comes back at the same address, three times slower or as fast as others, must be measured anew.
func TestSpeedIsMeasuredAnewAfterARestart(t *testing.T) {
	em := slowModel(t)
	em.run(30 * time.Second)
	em.dr.born, em.slowness = 2, newEngineModel(t, 1).slowness
	em.runs = nil
	em.pass(em.at() + time.Second)
	if sp := em.dr.en.Speed(); sp.Slow || sp.EventTime != 0 || sp.RateSamples != 0 {
		t.Errorf("after the restart: %+v", sp)
	}
	em.run(30 * time.Second)
	if em.dr.en.Speed().Slow {
		t.Errorf("the restarted engine counts as slow: %+v", em.dr.en.Speed())
	}
	em.dr.born, em.slowness, em.runs = 3, slowModel(t).slowness, nil
	em.run(15 * time.Second)
	if !em.dr.en.Speed().Slow {
		t.Errorf("the engine that came back slower counts as sound: %+v", em.dr.en.Speed())
	}
}

// A host that freezes for some seconds must not make its engine count as slow, nor may an old speed outlive a freeze.
func TestSpeedAfterAFreeze(t *testing.T) {
	em := newEngineModel(t, 4)
	em.run(20 * time.Second)
	em.dr.now = em.dr.now.Add(8 * time.Second)
	em.run(5 * time.Second)
	if len(em.changes) != 0 {
		t.Errorf("a sound engine counts as slow after a freeze: %v", em.changes)
	}
	em = slowModel(t)
	em.run(20 * time.Second)
	em.dr.now, em.slowness = em.dr.now.Add(8*time.Second), newEngineModel(t, 1).slowness
	em.run(3 * time.Second)
	if em.dr.en.Speed().Slow {
		t.Errorf("the speed from before the freeze outlives it: %+v", em.dr.en.Speed())
	}
}

// setSlow makes the engine count as slow.
func (en *Engine) setSlow(tokensPerSecond int, eventTime time.Duration, now time.Time) {
	en.pacer.speed = speed{slow: true, samples: []rateSample{{tokensPerSecond, time.Second}}, eventTime: eventTime, sampledAt: now}
}

// A stall of 250 ms that falls into two intervals between reports must not make an engine count as slow, which has read 1000
// tokens in 50 ms in each.
func TestOneStallIsNoSlowSpell(t *testing.T) {
	sp := speed{}
	for range 2 {
		sp.addReported(rateSample{1000, 50*time.Millisecond + stallMax/2}, testStart)
	}
	if sp.slow {
		t.Error("counts as slow after one stall")
	}
	sp.addReported(rateSample{1000, 200 * time.Millisecond}, testStart)
	if !sp.slow {
		t.Error("does not count as slow after three very low samples")
	}
}

// The prompts that stalls delay are the likeliest to be seen in two reports. They must not add up to a verdict while bursts
// between them take the usual time.
func TestUsualBurstsBetweenStallsKeepAnEngineSound(t *testing.T) {
	sp, now := speed{}, testStart
	for range 5 {
		sp.addReported(rateSample{2400, 380 * time.Millisecond}, now)
		now = now.Add(time.Second)
		sp.addBurst(2400, 1, 200*time.Millisecond, now)
	}
	if sp.slow {
		t.Error("counts as slow")
	}
}

// A request whose prompt is read and whose answer ends between two reports makes the running streams slower, and no report
// shows why. Such an interval must yield no sample.
func TestIntervalWithAnUnseenPromptIsSkipped(t *testing.T) {
	for name, events := range map[string]func(sp *speed){
		"granted and ended":                     func(sp *speed) { sp.attemptChanged("short"); sp.attemptEnded("short", false) },
		"granted before, read and ended":        func(sp *speed) { sp.attemptChanged("short"); sp.attemptEnded("short", true) },
		"granted before, its first event after": func(sp *speed) { sp.attemptEnded("short", true) },
		"none":                                  func(sp *speed) { sp.attemptEnded("long since started", false) },
	} {
		sp := &speed{}
		sp.observe([]Run{{"stream", 1000, 10}}, testStart)
		events(sp)
		sp.observe([]Run{{"stream", 1010, 14}}, testStart.Add(400*time.Millisecond))
		if (sp.eventSamples == 1) != (name == "none") {
			t.Errorf("%s: %d samples of the event time", name, sp.eventSamples)
		}
	}
}

// The backlog of a slow engine must be as long as the engine needs for it, with what was granted before it counted as slow.
func TestBacklogOfASlowEngineFollowsItsRate(t *testing.T) {
	dr := newDriver(t, 6, "x")
	dr.reserve("a", "x", 0, false)
	before := dr.en.Load(dr.now)
	dr.en.setSlow(DefaultPrefillRate/4, 80*time.Millisecond, dr.now)
	dr.en.pacer.rescale(DefaultPrefillRate, dr.now)
	after := dr.en.Load(dr.now)
	if before.PrefillRate != 0 || before.EventTime != 0 || before.Backlog == 0 {
		t.Errorf("load of a sound engine: %+v", before)
	}
	if after.PrefillRate != DefaultPrefillRate/4 || after.EventTime != 80*time.Millisecond || after.Backlog.Round(time.Millisecond) != (4*before.Backlog).Round(time.Millisecond) {
		t.Errorf("load of a slow engine: %+v, backlog before %s", after, before.Backlog)
	}
}

// On a slow engine, prompts must be paced from the start by the strictest bound on pauses of the granted streams and of the
// candidate, and no longer once the strict stream has ended.
func TestBurstsOfASlowEngineKeepTheStrictestBound(t *testing.T) {
	dr := newDriver(t, 6, "x")
	reserve := func(attempt string, tokens int, pauseMax time.Duration) {
		dr.record(dr.en.Reserve(Request{
			Attempt: attempt, Entry: "entry", Key: Key{Model: testModel, Adapter: "x"}, PromptTokens: tokens, PauseMax: pauseMax, Deadline: dr.now.Add(time.Minute),
		}, dr.now))
	}
	reserve("strict", 100, 400*time.Millisecond)
	dr.record(dr.en.Started("strict", dr.now))
	if got := dr.en.Load(dr.now).BurstMax; got != 0 {
		t.Errorf("burst limit %d on a sound engine", got)
	}
	dr.en.setSlow(5000, 60*time.Millisecond, dr.now)
	if got := dr.en.Load(dr.now).BurstMax; got != 1500 {
		t.Errorf("burst limit %d, want 5000 tokens a second for 0.9 * 400 ms less 60 ms", got)
	}
	reserve("first", 1000, 2*time.Second)
	reserve("second", 1000, 2*time.Second)
	if !slices.Equal(dr.granted, []string{"strict", "first"}) {
		t.Errorf("granted %v, want one prompt in a burst", dr.granted)
	}
	dr.record(dr.en.Release("strict", 0, dr.now))
	if !slices.Equal(dr.granted, []string{"strict", "first", "second"}) {
		t.Errorf("granted %v, want the second prompt once only streams with longer bounds run", dr.granted)
	}
	reserve("strict too", 100, 400*time.Millisecond)
	if len(dr.granted) != 3 {
		t.Errorf("granted %v, want the candidate held back by its own bound", dr.granted)
	}
}

// While the running requests of 100 streams are compared several times a second, the agent has a third of a core for
// everything.
func BenchmarkSpeedOf100Runs(b *testing.B) {
	sp, now := speed{}, testStart
	runs := make([]Run, 100)
	for ix := range runs {
		runs[ix].ID = "request-" + strconv.Itoa(ix)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(measureInterval)
		for ix := range runs {
			runs[ix].Tokens += 25
			runs[ix].Events += 10
		}
		sp.observe(runs, now)
	}
}
