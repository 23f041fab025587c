package route

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/conf"
)

const (
	// candidatesMax bounds the candidates kept for the log.
	candidatesMax = 3
	// absentMax bounds the runners considered that do not hold the adapter.
	absentMax = 3
	// stepsMax bounds the points that a probe looks at once another has found a runner.
	stepsMax = 64
	// pointsEach is the number of points of a runner on the ring.
	pointsEach = 16
	// probeStep separates the probes of an adapter.
	probeStep = 0x9e3779b97f4a7c15

	loadSeconds      = 0.25
	evictSeconds     = 0.25
	pinnedSeconds    = 2.0
	serviceSeconds   = 1.0
	fillSeconds      = 0.2
	crossingSeconds  = 0.05
	slowStartSeconds = 0.5
	slowStartPeriod  = 10 * time.Second

	ejectAfter  = 3
	ejectPeriod = 5 * time.Second
	ejectMax    = time.Minute
)

// Request is what routing knows of a request.
type Request struct {
	Adapter conf.AdapterVersion
	Model   string
	// Service is the plain service, empty for an adapter.
	Service string
	Region  string
	Weights conf.Weights
	// Exclude names runners that refused an earlier attempt.
	Exclude []string
}

// Candidate is a runner with its cost in weighted seconds.
type Candidate struct {
	Runner string
	Cost   float64
}

// Reason tells why the best candidate won.
type Reason string

// Reasons.
const (
	HoldsAdapter  Reason = "holds_adapter"
	LoadsAdapter  Reason = "loads_adapter"
	MustLoad      Reason = "must_load"
	OffersService Reason = "offers_service"
)

// Choice is a decision with the candidates that were compared, the cheapest first.
type Choice struct {
	Runner     string
	Boot       string
	Reason     Reason
	Candidates [candidatesMax]Candidate
	Count      int
}

// Choose returns the cheapest runner for a request, or false where none may take it.
// An adapter is loaded once more only where the batch of every holder is full: the
// store's rate is shared by all, so a load costs others more than it shows here.
func (fl *Fleet) Choose(rq Request, now time.Time) (Choice, bool) {
	ch := Choice{}
	if rq.Service != "" {
		for _, me := range fl.services[rq.Service] {
			if me.eligible(rq, now) {
				ch.consider(me, OffersService, me.queueCost(rq, now)+me.fillCost(rq))
			}
		}
		return ch, ch.Count > 0
	}
	if fl.Policy != CheapestPolicy {
		return fl.baseline(rq, now)
	}
	room := false
	for _, me := range fl.holders[rq.Adapter] {
		if me.Model == rq.Model && me.eligible(rq, now) {
			reason, stall := me.stall(rq.Adapter)
			ch.consider(me, reason, rq.Weights.LoadStall*stall+me.queueCost(rq, now)+me.fillCost(rq))
			room = room || me.Load() < me.Places
		}
	}
	if room {
		return ch, true
	}
	for _, me := range fl.preferred(rq, now) {
		if me == nil {
			break
		}
		reason, stall := me.stall(rq.Adapter)
		ch.consider(me, reason, rq.Weights.LoadStall*stall+me.queueCost(rq, now))
	}
	return ch, ch.Count > 0
}

// preferred returns runners that do not hold an adapter, by consistent hashing with
// several probes: each probe takes the first runner from a place on the ring of
// hashes, so that nodes which do not talk agree and a runner that comes or goes moves
// few adapters.
func (fl *Fleet) preferred(rq Request, now time.Time) [absentMax]*member {
	found := [absentMax]*member{}
	ring := fl.rings[rq.Model]
	seed := adapterHash(rq.Adapter)
	count := 0
	for probe := range uint64(absentMax) {
		start := firstFrom(ring, mix(seed+probe*probeStep))
		steps := len(ring)
		if count > 0 {
			steps = min(steps, stepsMax)
		}
		for step := range steps {
			me := ring[(start+step)%len(ring)].me
			if me.eligible(rq, now) && me.hold(rq.Adapter) == nil && !slices.Contains(found[:count], me) {
				found[count] = me
				count++
				break
			}
		}
	}
	return found
}

// adapterHash returns the hash of an adapter and version.
func adapterHash(av conf.AdapterVersion) uint64 {
	return xxh3.HashString(av.Adapter) + uint64(av.Version)
}

// mix spreads the bits of a hash.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// eligible tells whether the runner may take new work.
func (me *member) eligible(rq Request, now time.Time) bool {
	return !me.Leaving && !now.Before(me.ejectedUntil) && !slices.Contains(rq.Exclude, me.Name)
}

// hold returns the runner's hold of an adapter, or nil.
func (me *member) hold(av conf.AdapterVersion) *Hold {
	for ix := range me.Holds {
		if me.Holds[ix].Adapter == av {
			return &me.Holds[ix]
		}
	}
	return nil
}

// stall estimates the seconds a request waits for its adapter.
func (me *member) stall(av conf.AdapterVersion) (Reason, float64) {
	if ho := me.hold(av); ho != nil {
		if ho.State == Ready {
			return HoldsAdapter, 0
		}
		return LoadsAdapter, loadSeconds
	}
	if len(me.Holds) < me.Slots {
		return MustLoad, loadSeconds
	}
	for _, ho := range me.Holds {
		if ho.State == Ready && ho.Pins == 0 {
			return MustLoad, loadSeconds + evictSeconds
		}
	}
	return MustLoad, loadSeconds + pinnedSeconds
}

// fillCost returns the cost of the batch places left empty. It does not count where
// an adapter is loaded: a load at the busiest runner evicts what its requests need.
func (me *member) fillCost(rq Request) float64 {
	places := float64(max(1, me.Places))
	empty := max(0, places-float64(me.Load()+1))
	return rq.Weights.BatchEfficiency * fillSeconds * empty / places
}

// queueCost returns the cost of queueing, of crossing a region and of a cold runner.
func (me *member) queueCost(rq Request, now time.Time) float64 {
	places := float64(max(1, me.Places))
	load := float64(me.Load() + 1)
	cost := rq.Weights.Queueing * serviceSeconds * max(0, load-places) / places
	if rq.Region != "" && me.Region != rq.Region {
		cost += rq.Weights.RegionCrossing * crossingSeconds
	}
	if age := now.Sub(me.Connected); age < slowStartPeriod && rq.Service == "" {
		cost += slowStartSeconds * float64(slowStartPeriod-age) / float64(slowStartPeriod) * load / places
	}
	return cost
}

// consider keeps the cheapest candidates in order.
func (ch *Choice) consider(me *member, reason Reason, cost float64) {
	el := Candidate{Runner: me.Name, Cost: cost}
	if ch.Count == 0 || cost < ch.Candidates[0].Cost {
		ch.Runner, ch.Boot, ch.Reason = me.Name, me.Boot, reason
	}
	for ix := range ch.Candidates {
		if ix >= ch.Count {
			ch.Candidates[ix] = el
			ch.Count++
			return
		}
		if el.Cost < ch.Candidates[ix].Cost {
			ch.Candidates[ix], el = el, ch.Candidates[ix]
		}
	}
}

// Failed records a failed attempt and ejects a runner that fails again and again.
func (fl *Fleet) Failed(name string, now time.Time) {
	me := fl.members[name]
	if me == nil {
		return
	}
	me.failures++
	if me.failures < ejectAfter {
		return
	}
	period := min(ejectMax, ejectPeriod<<min(me.failures-ejectAfter, 4))
	me.ejectedUntil = now.Add(period)
}

// Succeeded forgets the runner's failures.
func (fl *Fleet) Succeeded(name string) {
	if me := fl.members[name]; me != nil {
		me.failures = 0
	}
}
