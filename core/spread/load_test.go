package spread

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// The simulation runs the real choice and the real grants under the heaviest load of the larger
// deployment that is planned for: streams with adapters of a heavy-tailed popularity, six slots
// per engine, a weight store that all engines share, and delayed reports.
const (
	simZones          = 3
	simSlots          = 6
	simAdapters       = 3000
	simParetoExponent = 1.2
	simDuration       = 40 * time.Second
	simStep           = 5 * time.Millisecond
	simLoadTime       = 250 * time.Millisecond
	simLatencyTarget  = time.Second
	hotAdapter        = "hot"
)

// simLoad is the size of a simulated deployment and the load on it.
type simLoad struct {
	engines, entries  int
	requestsPerSecond float64
	reportInterval    time.Duration
	// storeLoads is the number of concurrent loads that the store serves at full speed.
	storeLoads float64
	// hotShare is the share of requests for one adapter that nobody asked for before hotFrom.
	hotShare        float64
	hotFrom, hotFor time.Duration
}

// plannedLoad is that of the larger deployment that is planned for.
var plannedLoad = simLoad{engines: 18, entries: simZones, requestsPerSecond: 100, reportInterval: 100 * time.Millisecond, storeLoads: 8}

// simRequest is a simulated streaming request.
type simRequest struct {
	id       string
	adapter  string
	tokens   int
	duration time.Duration
	arrived  time.Time
	entry    int
	// redirected is true once an agent has refused the request because its engine was busy.
	redirected bool
}

// simEngine is a simulated engine with the grants of its agent.
type simEngine struct {
	id       string
	grants   *grant.Engine
	sequence int64
	loaded   map[string]int
	loading  map[string]float64
	cached   map[string]bool
	// unprefilled holds the granted requests whose prompts are not prefilled yet, prefilledUntil is when the
	// prompt in progress is, and endAt maps the IDs of running streams to their ends.
	unprefilled    []*simRequest
	prefilledUntil time.Time
	endAt          map[string]time.Time
	reportedAt     time.Time
}

// simulation is a deployment under load.
type simulation struct {
	load     simLoad
	duration time.Duration
	start    time.Time
	now      time.Time
	rng      *rand.Rand
	engines  []*simEngine
	fleets   []*Fleet
	popular  []*Popularity
	requests map[string]*simRequest
	choose   func(sm *simulation, rq *simRequest) (Choice, bool)

	fetches, total, onTime, late, refused, redirected int
	hotOnTime, hotTotal                               int
	distinctAdapters                                  map[string]bool
}

// newSimulation returns a deployment whose engines have only the base model loaded.
func newSimulation(seed uint64, lo simLoad, choose func(sm *simulation, rq *simRequest) (Choice, bool)) *simulation {
	sm := &simulation{
		load: lo, duration: simDuration, start: time.Unix(1_000_000, 0), now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, seed)), requests: map[string]*simRequest{},
		choose: choose, distinctAdapters: map[string]bool{},
	}
	for range lo.entries {
		sm.fleets = append(sm.fleets, &Fleet{})
		sm.popular = append(sm.popular, &Popularity{})
	}
	for ix := range lo.engines {
		se := &simEngine{
			id: "engine-" + strconv.Itoa(ix), grants: grant.New(sm.now.Add(-time.Minute)), loaded: map[string]int{},
			loading: map[string]float64{}, cached: map[string]bool{}, endAt: map[string]time.Time{},
		}
		sm.engines = append(sm.engines, se)
		sm.apply(se, se.grants.Prepare(grant.Assignment{Model: "m", Slots: simSlots, Server: se.id, Born: 1}, sm.now))
		sm.observe(se)
		for _, fl := range sm.fleets {
			zone := "zone-" + strconv.Itoa(ix%simZones)
			fl.Put(Server{ID: se.id, Service: "advice", Zone: zone, Region: zone, Engine: true, Model: "m", Born: 1})
		}
	}
	return sm
}

// cheapest is the strategy under test.
func cheapest(sm *simulation, rq *simRequest) (Choice, bool) {
	zone := "zone-" + strconv.Itoa(rq.entry%simZones)
	ch, ok := sm.fleets[rq.entry].Choose(Request{
		Service: "advice", Model: "m", Adapter: rq.adapter, PromptTokens: rq.tokens, Zone: zone, Region: zone,
		Popular: sm.popular[rq.entry].CountRequest(rq.adapter, float64(sm.load.entries)/simZones, sm.now),
	}, sm.now)
	return ch, ok && ch.Wait < 3500*time.Millisecond
}

// cheapestOnReports is the strategy under test without the agents' knowledge of their backlogs.
func cheapestOnReports(sm *simulation, rq *simRequest) (Choice, bool) {
	ch, ok := cheapest(sm, rq)
	ch.BacklogMax = 0
	return ch, ok
}

// leastLoaded chooses the engine with the fewest requests.
func leastLoaded(sm *simulation, _ *simRequest) (Choice, bool) {
	best := sm.engines[0]
	for _, se := range sm.engines {
		if len(se.endAt)+len(se.unprefilled) < len(best.endAt)+len(best.unprefilled) {
			best = se
		}
	}
	return Choice{ID: best.id}, true
}

// run simulates requests with random arrival times.
func (sm *simulation) run() {
	end := sm.now.Add(sm.duration)
	next := sm.now
	for sm.now.Before(end) {
		for !next.After(sm.now) {
			sm.handleArrival()
			next = next.Add(time.Duration(sm.rng.ExpFloat64() / sm.load.requestsPerSecond * float64(time.Second)))
		}
		sm.advance()
		sm.now = sm.now.Add(simStep)
	}
}

// handleArrival creates one request and sends it to the chosen engine.
func (sm *simulation) handleArrival() {
	sm.total++
	rank := sm.rank()
	rq := &simRequest{
		id: strconv.Itoa(sm.total), adapter: "a" + strconv.Itoa(rank), tokens: 500 + sm.rng.IntN(3600),
		duration: 250 * time.Millisecond, arrived: sm.now, entry: sm.rng.IntN(sm.load.entries),
	}
	if since := sm.now.Sub(sm.start) - sm.load.hotFrom; sm.load.hotShare > 0 && since >= 0 && since < sm.load.hotFor && sm.rng.Float64() < sm.load.hotShare {
		rq.adapter = hotAdapter
		sm.hotTotal++
	}
	if sm.rng.Float64() < 0.22 {
		rq.duration = 2 * time.Second
	}
	sm.distinctAdapters[rq.adapter] = true
	sm.requests[rq.id] = rq
	sm.place(rq)
}

// place sends a request to the chosen engine. A request is redirected once at most.
func (sm *simulation) place(rq *simRequest) {
	ch, ok := sm.choose(sm, rq)
	if !ok {
		sm.refused++
		delete(sm.requests, rq.id)
		return
	}
	backlogMax := ch.BacklogMax
	if rq.redirected {
		backlogMax = 0
	}
	sm.fleets[rq.entry].Sent(ch.ID, rq.tokens, sm.now)
	se := sm.engine(ch.ID)
	sm.apply(se, se.grants.Reserve(grant.Request{
		Attempt: rq.id, Entry: "entry", Key: grant.Key{Model: "m", Adapter: rq.adapter}, PromptTokens: rq.tokens, OutputTokens: 60,
		BacklogMax: backlogMax, Deadline: sm.now.Add(3500 * time.Millisecond),
	}, sm.now))
}

// redirect chooses again for a request that an agent refused because its engine is busier than
// expected. The refusal carries the engine's load.
func (sm *simulation) redirect(se *simEngine, id string) {
	sm.redirected++
	rq := sm.requests[id]
	rq.redirected = true
	fl := sm.fleets[rq.entry]
	fl.Done(se.id)
	fl.AgentReported(se.id, Load{Load: se.grants.Load(sm.now), ReportedAt: sm.now}, nil)
	sm.place(rq)
}

// rank draws the popularity rank of an adapter from a truncated Pareto distribution.
func (sm *simulation) rank() int {
	for {
		if rank := int(math.Pow(1-sm.rng.Float64(), -1/(simParetoExponent-1))); rank <= simAdapters {
			return rank
		}
	}
}

// engine returns an engine by ID.
func (sm *simulation) engine(id string) *simEngine {
	ix, _ := strconv.Atoi(id[len("engine-"):])
	return sm.engines[ix]
}

// apply carries out the actions of the grants.
func (sm *simulation) apply(se *simEngine, actions []grant.Action) {
	for _, ac := range actions {
		switch {
		case ac.Grant != nil:
			se.unprefilled = append(se.unprefilled, sm.requests[ac.Grant.Attempt])
		case ac.Refuse != nil && ac.Refuse.Reason == grant.ReasonEngineBusy:
			sm.redirect(se, ac.Refuse.Attempt)
		case ac.Refuse != nil:
			sm.refused++
			sm.finish(se, ac.Refuse.Attempt)
		case ac.Order != nil:
			sm.execute(se, *ac.Order)
		case ac.Inspect != nil:
			sm.observe(se)
		}
	}
}

// finish removes a request.
func (sm *simulation) finish(se *simEngine, id string) {
	rq := sm.requests[id]
	delete(sm.requests, id)
	sm.fleets[rq.entry].Done(se.id)
}

// execute starts a load or carries out an unload.
func (sm *simulation) execute(se *simEngine, or grant.Order) {
	se.sequence++
	if or.Operation == grant.UnloadAdapter {
		delete(se.loaded, or.Key.Adapter)
		sm.apply(se, se.grants.OrderEnded(or, grant.InEffect, sm.now))
		return
	}
	seconds := simLoadTime.Seconds()
	if se.cached[or.Key.Adapter] {
		seconds /= 10
	} else {
		sm.fetches++
	}
	se.cached[or.Key.Adapter] = true
	se.loading[or.Key.Adapter] = seconds
	sm.apply(se, se.grants.OrderEnded(or, grant.Accepted, sm.now))
}

// observe passes the engine's present state to its grants.
func (sm *simulation) observe(se *simEngine) {
	ob := grant.Observation{
		Born: 1, Sequence: se.sequence, MemoryTotal: 120_000, Coming: map[grant.Key]int{}, Models: []grant.Model{{Name: "m", Adapters: map[string]int{}}},
	}
	for adapter := range se.loaded {
		ob.Models[0].Adapters[adapter] = 1
	}
	for adapter := range se.loading {
		ob.Coming[grant.Key{Model: "m", Adapter: adapter}] = 1
	}
	sm.apply(se, se.grants.InspectionDone(ob, sm.now))
}

// advance simulates one step of all loads, prompts and streams.
func (sm *simulation) advance() {
	loadsInFlight := 0
	for _, se := range sm.engines {
		loadsInFlight += len(se.loading)
	}
	speed := min(1, sm.load.storeLoads/float64(max(1, loadsInFlight)))
	for _, se := range sm.engines {
		sm.advanceLoads(se, speed)
		sm.prefill(se)
		for id, at := range se.endAt {
			if !sm.now.Before(at) {
				delete(se.endAt, id)
				sm.finish(se, id)
				sm.apply(se, se.grants.Release(id, 0, sm.now))
			}
		}
		if !se.grants.NextAt(sm.now).After(sm.now) {
			sm.apply(se, se.grants.Tick(sm.now))
		}
		sm.report(se)
	}
}

// advanceLoads simulates one step of the adapter loads.
func (sm *simulation) advanceLoads(se *simEngine, speed float64) {
	for adapter := range se.loading {
		se.loading[adapter] -= simStep.Seconds() * speed
		if se.loading[adapter] <= 0 {
			delete(se.loading, adapter)
			se.loaded[adapter] = 1
		}
	}
}

// prefill prefills prompts one after the other and counts the requests that are on time.
func (sm *simulation) prefill(se *simEngine) {
	if se.prefilledUntil.Before(sm.now) {
		se.prefilledUntil = sm.now
	}
	for len(se.unprefilled) > 0 && !se.prefilledUntil.After(sm.now) {
		rq := se.unprefilled[0]
		se.unprefilled = se.unprefilled[1:]
		se.prefilledUntil = se.prefilledUntil.Add(grant.PrefillTime(rq.tokens))
		if se.prefilledUntil.Sub(rq.arrived) <= simLatencyTarget {
			sm.onTime++
			if rq.adapter == hotAdapter {
				sm.hotOnTime++
			}
		} else {
			sm.late++
		}
		se.endAt[rq.id] = se.prefilledUntil.Add(rq.duration)
	}
}

// report sends an engine's state to all entry nodes once per report interval.
func (sm *simulation) report(se *simEngine) {
	if sm.now.Sub(se.reportedAt) < sm.load.reportInterval {
		return
	}
	se.reportedAt = sm.now
	lo := se.grants.Load(sm.now)
	adapters := make([]AdapterSlot, 0, simSlots)
	for _, ho := range se.grants.Adapters() {
		adapters = append(adapters, AdapterSlot{Adapter: ho.Key.Adapter, Version: ho.Version, Ready: ho.Ready, Users: ho.Pins + ho.Waiting})
	}
	for _, fl := range sm.fleets {
		fl.AgentReported(se.id, Load{Load: lo, ReportedAt: sm.now}, adapters)
	}
}

// Most adapters are rare when popularity is heavy-tailed. Choosing by load alone ignores which
// engines have an adapter, so many engines fetch the same ones from the shared weight store.
func TestMoreRequestsAreOnTimeThanWithLeastLoadedUnderHeavyTailedLoad(t *testing.T) {
	for seed := range uint64(3) {
		byCost, byLoad := newSimulation(seed, plannedLoad, cheapest), newSimulation(seed, plannedLoad, leastLoaded)
		byCost.run()
		byLoad.run()
		t.Logf("seed %d: cheapest: %d requests, %d on time, %d late, %d refused, %d fetches of %d adapters; least loaded: %d on time, %d refused, %d fetches",
			seed, byCost.total, byCost.onTime, byCost.late, byCost.refused, byCost.fetches, len(byCost.distinctAdapters), byLoad.onTime, byLoad.refused, byLoad.fetches)
		if byCost.fetches > 2*len(byCost.distinctAdapters) {
			t.Errorf("seed %d: %d fetches of %d adapters: engines fetch adapters that others have", seed, byCost.fetches, len(byCost.distinctAdapters))
		}
		if byCost.onTime < byLoad.onTime+byLoad.onTime/4 {
			t.Errorf("seed %d: %d on time, want 25%% more than the %d of least loaded", seed, byCost.onTime, byLoad.onTime)
		}
	}
}
