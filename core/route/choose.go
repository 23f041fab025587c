package route

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/conf"
)

const (
	// candidatesMax limits the candidates that are kept for the log.
	candidatesMax = 3
	// loadTargetsMax limits the candidates that would have to load the adapter.
	loadTargetsMax = 3
	// probeStepsMax limits the points that a probe visits once an earlier probe has found a runner.
	probeStepsMax = 64
	// pointsPerRunner is the number of points of a runner on the hash ring.
	pointsPerRunner = 16
	// hashStep is 2^64 divided by the golden ratio; its multiples spread evenly over the hashes.
	hashStep = 0x9e3779b97f4a7c15

	// adapterLoadSeconds is the time to load an adapter.
	adapterLoadSeconds = 0.25
	// evictionSeconds is added if an unused adapter must be evicted first.
	evictionSeconds = 0.25
	// slotWaitSeconds is added if the adapters in all slots are in use.
	slotWaitSeconds = 2.0
	// serviceSeconds is the wait behind one full batch of queued requests.
	serviceSeconds = 1.0
	// emptyBatchSeconds is the cost of an empty batch.
	emptyBatchSeconds = 0.2
	// crossRegionSeconds is the cost of crossing regions.
	crossRegionSeconds = 0.05
	// slowStartSeconds is the cost of a full batch on a runner that has just connected; it falls
	// to zero over slowStartPeriod.
	slowStartSeconds = 0.5
	slowStartPeriod  = 10 * time.Second

	// ejectAfterFailures is the number of consecutive failures after which a runner is ejected:
	// for ejectPeriod at first, and twice as long with each further failure up to ejectPeriodMax.
	ejectAfterFailures = 3
	ejectPeriod        = 5 * time.Second
	ejectPeriodMax     = time.Minute
)

// Request holds the properties of a request that affect the choice of a runner.
type Request struct {
	Adapter conf.AdapterVersion
	Model   string
	// Service is the name of the plain service, empty for a request to an adapter.
	Service string
	Region  string
	Weights conf.Weights
	// Exclude holds the names of runners that must not be chosen: those of earlier attempts, which
	// were refused, not sent or interrupted, and those that cannot resume the request's stream.
	Exclude []string
}

// Candidate is a runner with its cost in weighted seconds.
type Candidate struct {
	Runner string
	Cost   float64
}

// Reason is the state of the chosen runner with regard to the request.
type Reason string

// Reasons.
const (
	// AdapterLoaded is for a runner that has the adapter loaded.
	AdapterLoaded Reason = "holds_adapter"
	// AdapterLoading is for a runner that is loading the adapter.
	AdapterLoading Reason = "loads_adapter"
	// MustLoad is for a runner that does not have the adapter.
	MustLoad Reason = "must_load"
	// OffersService is for a runner with the requested plain service.
	OffersService Reason = "offers_service"
)

// Choice is the chosen runner with the cheapest candidates, in ascending order of cost.
type Choice struct {
	Runner         string
	Boot           string
	Reason         Reason
	Candidates     [candidatesMax]Candidate
	CandidateCount int
}

// Choose returns the cheapest runner for a request, or false if no runner can take it.
// If a runner that has the adapter or is loading it has a free place in its batch, no runner is
// considered that would have to start a load: all runners share the rate of the weight store, so
// a load costs other requests more than the estimate shows.
func (fl *Fleet) Choose(rq Request, now time.Time) (Choice, bool) {
	ch := Choice{}
	if rq.Service != "" {
		for _, me := range fl.services[rq.Service] {
			if me.eligible(rq, now) {
				ch.addCandidate(me, OffersService, me.serveCost(rq, now)+me.emptyBatchCost(rq))
			}
		}
		return ch, ch.CandidateCount > 0
	}
	if fl.Policy != CheapestPolicy {
		return fl.chooseBaseline(rq, now)
	}
	placeFree := false
	for _, me := range fl.holders[rq.Adapter] {
		if me.Model == rq.Model && me.eligible(rq, now) {
			reason, adapterWait := me.adapterWait(rq.Adapter)
			ch.addCandidate(me, reason, rq.Weights.LoadStall*adapterWait+me.serveCost(rq, now)+me.emptyBatchCost(rq))
			placeFree = placeFree || me.Load() < me.Places
		}
	}
	if placeFree {
		return ch, true
	}
	for _, me := range fl.loadTargets(rq, now) {
		if me == nil {
			break
		}
		reason, adapterWait := me.adapterWait(rq.Adapter)
		ch.addCandidate(me, reason, rq.Weights.LoadStall*adapterWait+me.serveCost(rq, now))
	}
	return ch, ch.CandidateCount > 0
}

// loadTargets returns eligible runners that neither have an adapter nor are loading it, by
// multi-probe consistent hashing. Each probe takes the first suitable runner from its point on the
// hash ring. So all nodes choose the same runners without communicating, and adding or removing a
// runner moves few adapters.
func (fl *Fleet) loadTargets(rq Request, now time.Time) [loadTargetsMax]*member {
	found := [loadTargetsMax]*member{}
	ring := fl.rings[rq.Model]
	seed := adapterHash(rq.Adapter)
	count := 0
	for probe := range uint64(loadTargetsMax) {
		start := firstPointFrom(ring, mixBits(seed+probe*hashStep))
		steps := len(ring)
		if count > 0 {
			steps = min(steps, probeStepsMax)
		}
		for step := range steps {
			me := ring[(start+step)%len(ring)].me
			if me.eligible(rq, now) && me.adapterSlot(rq.Adapter) == nil && !slices.Contains(found[:count], me) {
				found[count] = me
				count++
				break
			}
		}
	}
	return found
}

// adapterHash returns the hash of an adapter version.
func adapterHash(av conf.AdapterVersion) uint64 {
	return xxh3.HashString(av.Adapter) + uint64(av.Version)
}

// mixBits is the 64-bit finalizer of MurmurHash3.
func mixBits(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// eligible reports whether the runner is neither leaving, nor ejected, nor excluded by the
// request.
func (me *member) eligible(rq Request, now time.Time) bool {
	return !me.Leaving && !now.Before(me.ejectedUntil) && !slices.Contains(rq.Exclude, me.Name)
}

// adapterSlot returns the runner's slot that an adapter occupies, or nil.
func (me *member) adapterSlot(av conf.AdapterVersion) *AdapterSlot {
	for ix := range me.AdapterSlots {
		if me.AdapterSlots[ix].Adapter == av {
			return &me.AdapterSlots[ix]
		}
	}
	return nil
}

// adapterWait estimates how many seconds a request waits for its adapter.
func (me *member) adapterWait(av conf.AdapterVersion) (Reason, float64) {
	if sl := me.adapterSlot(av); sl != nil {
		if sl.State == Ready {
			return AdapterLoaded, 0
		}
		return AdapterLoading, adapterLoadSeconds
	}
	if len(me.AdapterSlots) < me.Slots {
		return MustLoad, adapterLoadSeconds
	}
	for _, sl := range me.AdapterSlots {
		if sl.State == Ready && sl.Pins == 0 {
			return MustLoad, adapterLoadSeconds + evictionSeconds
		}
	}
	return MustLoad, adapterLoadSeconds + slotWaitSeconds
}

// emptyBatchCost returns the cost of the batch places that stay empty. Choose leaves it out for
// runners that must load the adapter: a load on the busiest runner would evict adapters that its
// requests need.
func (me *member) emptyBatchCost(rq Request) float64 {
	places := float64(max(1, me.Places))
	empty := max(0, places-float64(me.Load()+1))
	return rq.Weights.BatchEfficiency * emptyBatchSeconds * empty / places
}

// serveCost returns the cost of queueing and of crossing regions, and the penalty for a runner
// that has just connected.
func (me *member) serveCost(rq Request, now time.Time) float64 {
	places := float64(max(1, me.Places))
	load := float64(me.Load() + 1)
	cost := rq.Weights.Queueing * serviceSeconds * max(0, load-places) / places
	if rq.Region != "" && me.Region != rq.Region {
		cost += rq.Weights.RegionCrossing * crossRegionSeconds
	}
	if age := now.Sub(me.ConnectedAt); age < slowStartPeriod && rq.Service == "" {
		cost += slowStartSeconds * float64(slowStartPeriod-age) / float64(slowStartPeriod) * load / places
	}
	return cost
}

// addCandidate inserts a runner into the list of the cheapest candidates.
func (ch *Choice) addCandidate(me *member, reason Reason, cost float64) {
	ca := Candidate{Runner: me.Name, Cost: cost}
	if ch.CandidateCount == 0 || cost < ch.Candidates[0].Cost {
		ch.Runner, ch.Boot, ch.Reason = me.Name, me.Boot, reason
	}
	for ix := range ch.Candidates {
		if ix >= ch.CandidateCount {
			ch.Candidates[ix] = ca
			ch.CandidateCount++
			return
		}
		if ca.Cost < ch.Candidates[ix].Cost {
			ch.Candidates[ix], ca = ca, ch.Candidates[ix]
		}
	}
}

// Failed records a failed attempt and ejects a runner after several consecutive failures.
func (fl *Fleet) Failed(name string, now time.Time) {
	me := fl.members[name]
	if me == nil {
		return
	}
	me.consecutiveFailures++
	if me.consecutiveFailures < ejectAfterFailures {
		return
	}
	period := min(ejectPeriodMax, ejectPeriod<<min(me.consecutiveFailures-ejectAfterFailures, 4))
	me.ejectedUntil = now.Add(period)
}

// Succeeded resets the runner's consecutive failures.
func (fl *Fleet) Succeeded(name string) {
	if me := fl.members[name]; me != nil {
		me.consecutiveFailures = 0
	}
}
