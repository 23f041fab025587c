package spread

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// The replay drives the real choice and the real grants through the worst load of the
// larger user: streams with adapters of a heavy tail, six slots an engine, a weight
// store that all engines share, and reports that lag.
const (
	replayEngines  = 18
	replayZones    = 3
	replaySlots    = 6
	replayAdapters = 3000
	replayZipf     = 1.2
	replayRate     = 100.0
	replayLength   = 40 * time.Second
	replayLag      = 100 * time.Millisecond
	replayStep     = 5 * time.Millisecond
	// replayStore is the number of loads that the store serves at full speed.
	replayStore  = 8
	replayLoad   = 250 * time.Millisecond
	replayTarget = time.Second
)

// replayRequest is one stream on its way.
type replayRequest struct {
	id      string
	adapter string
	tokens  int
	run     time.Duration
	arrived time.Time
	entry   int
}

// replayEngine is an engine with its agent's state.
type replayEngine struct {
	id     string
	en     *grant.Engine
	seq    int64
	loaded map[string]int
	coming map[string]float64
	recent map[string]bool
	// reads holds the granted requests whose prompts are unread, ends when others leave.
	reads []*replayRequest
	read  time.Time
	ends  map[string]time.Time
	told  time.Time
}

// replay is a deployment under load.
type replay struct {
	now      time.Time
	rd       *rand.Rand
	engines  []*replayEngine
	fleets   []*Fleet
	popular  []*Popularity
	requests map[string]*replayRequest
	choose   func(rp *replay, rq *replayRequest) (string, bool)

	fetches, asked, onTime, late, refused int
	distinct                              map[string]bool
}

// newReplay returns a deployment whose engines hold the base model alone.
func newReplay(seed uint64, choose func(rp *replay, rq *replayRequest) (string, bool)) *replay {
	rp := &replay{
		now: time.Unix(1_000_000, 0), rd: rand.New(rand.NewPCG(seed, seed)), requests: map[string]*replayRequest{},
		choose: choose, distinct: map[string]bool{},
	}
	for range replayZones {
		rp.fleets = append(rp.fleets, &Fleet{})
		rp.popular = append(rp.popular, &Popularity{})
	}
	for ix := range replayEngines {
		re := &replayEngine{
			id: "engine-" + strconv.Itoa(ix), en: grant.New(rp.now.Add(-time.Minute)), loaded: map[string]int{},
			coming: map[string]float64{}, recent: map[string]bool{}, ends: map[string]time.Time{},
		}
		rp.engines = append(rp.engines, re)
		rp.act(re, re.en.Prepare(grant.Wanted{Model: "m", Slots: replaySlots, Server: re.id, Born: 1}, rp.now))
		rp.observe(re)
		for _, fl := range rp.fleets {
			zone := "zone-" + strconv.Itoa(ix%replayZones)
			fl.Put(Server{ID: re.id, Service: "advice", Zone: zone, Region: zone, Engine: true, Model: "m", Born: 1})
		}
	}
	return rp
}

// cheapest is the choice under test.
func cheapest(rp *replay, rq *replayRequest) (string, bool) {
	zone := "zone-" + strconv.Itoa(rq.entry)
	ch, ok := rp.fleets[rq.entry].Choose(Request{
		Service: "advice", Model: "m", Adapter: rq.adapter, PromptTokens: rq.tokens, Zone: zone, Region: zone,
		Popular: rp.popular[rq.entry].Asked(rq.adapter, 1, rp.now),
	}, rp.now)
	return ch.ID, ok && ch.Wait < 3500*time.Millisecond
}

// leastLoaded sends each request to the engine with the fewest.
func leastLoaded(rp *replay, _ *replayRequest) (string, bool) {
	best := rp.engines[0]
	for _, re := range rp.engines {
		if len(re.ends)+len(re.reads) < len(best.ends)+len(best.reads) {
			best = re
		}
	}
	return best.id, true
}

// run plays the load.
func (rp *replay) run() {
	end := rp.now.Add(replayLength)
	next := rp.now
	for rp.now.Before(end) {
		for !next.After(rp.now) {
			rp.arrive()
			next = next.Add(time.Duration(rp.rd.ExpFloat64() / replayRate * float64(time.Second)))
		}
		rp.progress()
		rp.now = rp.now.Add(replayStep)
	}
}

// arrive takes one request.
func (rp *replay) arrive() {
	rp.asked++
	rank := rp.rank()
	rq := &replayRequest{
		id: strconv.Itoa(rp.asked), adapter: "a" + strconv.Itoa(rank), tokens: 500 + rp.rd.IntN(3600),
		run: 250 * time.Millisecond, arrived: rp.now, entry: rp.rd.IntN(replayZones),
	}
	if rp.rd.Float64() < 0.22 {
		rq.run = 2 * time.Second
	}
	rp.distinct[rq.adapter] = true
	id, ok := rp.choose(rp, rq)
	if !ok {
		rp.refused++
		return
	}
	rp.requests[rq.id] = rq
	rp.fleets[rq.entry].Sent(id, rq.tokens, rp.now)
	re := rp.engine(id)
	rp.act(re, re.en.Reserve(grant.Item{
		Attempt: rq.id, Entry: "entry", Key: grant.Key{Model: "m", Adapter: rq.adapter}, PromptTokens: rq.tokens, OutputTokens: 60,
		Deadline: rp.now.Add(3500 * time.Millisecond),
	}, rp.now))
}

// rank draws the rank of an adapter from a heavy tail that ends.
func (rp *replay) rank() int {
	for {
		if rank := int(math.Pow(1-rp.rd.Float64(), -1/(replayZipf-1))); rank <= replayAdapters {
			return rank
		}
	}
}

// engine returns an engine.
func (rp *replay) engine(id string) *replayEngine {
	ix, _ := strconv.Atoi(id[len("engine-"):])
	return rp.engines[ix]
}

// act carries out what the grants decided.
func (rp *replay) act(re *replayEngine, actions []grant.Action) {
	for _, ac := range actions {
		switch {
		case ac.Grant != nil:
			re.reads = append(re.reads, rp.requests[ac.Grant.Attempt])
		case ac.Refuse != nil:
			rp.refused++
			rp.done(re, ac.Refuse.Attempt)
		case ac.Order != nil:
			rp.order(re, *ac.Order)
		case ac.Inspect != nil:
			rp.observe(re)
		}
	}
}

// done forgets a request.
func (rp *replay) done(re *replayEngine, id string) {
	rq := rp.requests[id]
	delete(rp.requests, id)
	rp.fleets[rq.entry].Done(re.id)
}

// order carries out an order.
func (rp *replay) order(re *replayEngine, or grant.Order) {
	re.seq++
	if or.Operation == grant.UnloadAdapter {
		delete(re.loaded, or.Key.Adapter)
		rp.act(re, re.en.Ordered(or, grant.Holds, rp.now))
		return
	}
	work := replayLoad.Seconds()
	if re.recent[or.Key.Adapter] {
		work /= 10
	} else {
		rp.fetches++
	}
	re.recent[or.Key.Adapter] = true
	re.coming[or.Key.Adapter] = work
	rp.act(re, re.en.Ordered(or, grant.Accepted, rp.now))
}

// observe tells an agent what its engine holds.
func (rp *replay) observe(re *replayEngine) {
	ob := grant.Observation{
		Born: 1, Sequence: re.seq, MemoryTotal: 120_000, Coming: map[grant.Key]int{}, Models: []grant.Model{{Name: "m", Adapters: map[string]int{}}},
	}
	for adapter := range re.loaded {
		ob.Models[0].Adapters[adapter] = 1
	}
	for adapter := range re.coming {
		ob.Coming[grant.Key{Model: "m", Adapter: adapter}] = 1
	}
	rp.act(re, re.en.Observed(ob, rp.now))
}

// progress moves loads, prompts and streams on by one step.
func (rp *replay) progress() {
	onWay := 0
	for _, re := range rp.engines {
		onWay += len(re.coming)
	}
	speed := min(1, replayStore/float64(max(1, onWay)))
	for _, re := range rp.engines {
		rp.load(re, speed)
		rp.read(re)
		for id, at := range re.ends {
			if !rp.now.Before(at) {
				delete(re.ends, id)
				rp.done(re, id)
				rp.act(re, re.en.Release(id, 0, rp.now))
			}
		}
		if !re.en.NextAt(rp.now).After(rp.now) {
			rp.act(re, re.en.Tick(rp.now))
		}
		rp.tell(re)
	}
}

// load moves the adapters on their way.
func (rp *replay) load(re *replayEngine, speed float64) {
	for adapter := range re.coming {
		re.coming[adapter] -= replayStep.Seconds() * speed
		if re.coming[adapter] <= 0 {
			delete(re.coming, adapter)
			re.loaded[adapter] = 1
		}
	}
}

// read reads prompts one after the other and counts first events.
func (rp *replay) read(re *replayEngine) {
	if re.read.Before(rp.now) {
		re.read = rp.now
	}
	for len(re.reads) > 0 && !re.read.After(rp.now) {
		rq := re.reads[0]
		re.reads = re.reads[1:]
		re.read = re.read.Add(grant.ReadTime(rq.tokens))
		if re.read.Sub(rq.arrived) <= replayTarget {
			rp.onTime++
		} else {
			rp.late++
		}
		re.ends[rq.id] = re.read.Add(rq.run)
	}
}

// tell sends an engine's state to the entry nodes, behind time.
func (rp *replay) tell(re *replayEngine) {
	if rp.now.Sub(re.told) < replayLag {
		return
	}
	re.told = rp.now
	lo := re.en.Load(rp.now)
	holds := make([]Hold, 0, replaySlots)
	for _, ho := range re.en.Holds() {
		holds = append(holds, Hold{Adapter: ho.Key.Adapter, Version: ho.Version, Ready: ho.Ready, Users: ho.Pins + ho.Waiting})
	}
	for _, fl := range rp.fleets {
		fl.Told(re.id, Load{Load: lo, At: rp.now}, holds)
	}
}

func TestTheWorstLoadOfAHeavyTail(t *testing.T) {
	for seed := range uint64(3) {
		ours, base := newReplay(seed, cheapest), newReplay(seed, leastLoaded)
		ours.run()
		base.run()
		t.Logf("seed %d: ours: %d asked, %d on time, %d late, %d refused, %d fetches of %d adapters; least loaded: %d on time, %d refused, %d fetches",
			seed, ours.asked, ours.onTime, ours.late, ours.refused, ours.fetches, len(ours.distinct), base.onTime, base.refused, base.fetches)
		if ours.fetches > 2*len(ours.distinct) {
			t.Errorf("seed %d: %d fetches of %d adapters: the engines fetch what others hold", seed, ours.fetches, len(ours.distinct))
		}
		if ours.onTime < base.onTime+base.onTime/4 {
			t.Errorf("seed %d: %d on time, least loaded %d", seed, ours.onTime, base.onTime)
		}
	}
}
