package spread

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/grant"
)

const (
	// stepSeconds is what each running request adds to the wait for a first event.
	stepSeconds = 0.004
	// loadSeconds is the time of an adapter's load at full speed.
	loadSeconds = 0.25
	// reloadSeconds is the time of a load that the engine's host has at hand.
	reloadSeconds = 0.03
	// evictSeconds is the price of an eviction: another request may want the adapter.
	evictSeconds = 0.05
	// fullSeconds is the wait where every adapter is in use.
	fullSeconds = 0.8
	// fetchSeconds is the price of a fetch from the weight store by one more engine.
	fetchSeconds = 1.0
	// crossSeconds is the price of crossing regions: the way and the traffic.
	crossSeconds = 0.12
	// zoneSeconds is the price of crossing zones within a region.
	zoneSeconds = 0.06
	// memorySeconds is the wait where the engine's memory is full.
	memorySeconds = 0.8
	// placeSeconds is the wait for each request above a plain service's places.
	placeSeconds = 0.06
	// busySeconds spreads requests over the places of plain services.
	busySeconds = 0.02
	// faultSeconds is the cost of a server whose requests all fail.
	faultSeconds = 0.6
	// pauseSeconds is the price of a stream held up by a prompt that the engine reads for
	// longer than callers bear, pausesSeconds the most for all streams of an engine: less
	// than a fetch.
	pauseSeconds  = 0.1
	pausesSeconds = 0.5
	// againSeconds is the cost of a server that has failed the same request.
	againSeconds = 1.0
	// waitingSeconds is the wait that each request queued at the agent adds to a load.
	waitingSeconds = 0.1
	// silentSeconds is the cost of an engine whose agent is silent.
	silentSeconds = 0.15

	// waitFree is the wait that still leaves the first byte on time, in seconds.
	waitFree = 0.5
	// waitWeight weighs a wait within waitFree, lateWeight what is beyond it.
	waitWeight = 0.4
	lateWeight = 1.2

	// candidatesMax bounds the candidates kept for the log.
	candidatesMax = 3
)

// Request is what the choice knows of a request.
type Request struct {
	Service string
	Model   string
	// Adapter is empty where the base model alone answers.
	Adapter string
	// Version is the newest version announced, zero where none was.
	Version int
	// Settled is true once no older version may be used.
	Settled bool
	// Popular is true for an adapter that this node is often asked for.
	Popular      bool
	PromptTokens int
	Zone         string
	Region       string
	// Exclude names servers that are not to be tried again.
	Exclude []string
}

// Reason tells in which state the best candidate is.
type Reason string

// Reasons.
const (
	Plain   Reason = "plain"
	Holds   Reason = "holds_adapter"
	Loads   Reason = "loads_adapter"
	Room    Reason = "has_room"
	Evicts  Reason = "must_evict"
	Full    Reason = "all_in_use"
	Direct  Reason = "agent_silent"
	NoModel Reason = "no_model"
)

// estimate is what a candidate costs.
type estimate struct {
	// queue is the part of the wait that the server's own pace scales.
	queue float64
	// wait is the expected time to the first byte in seconds.
	wait float64
	// price is what speaks against the candidate beyond the wait, in seconds.
	price  float64
	reason Reason
}

// cost returns the sum that the choice compares. A wait that leaves the first byte on
// time counts little beside the price; one that does not counts more than in full.
func (es estimate) cost() float64 {
	return es.wait*waitWeight + max(0, es.wait-waitFree)*lateWeight + es.price
}

// Candidate is a server with its cost in seconds.
type Candidate struct {
	ID   string
	Cost float64
}

// Choice is a decision with the candidates that were compared, the cheapest first.
type Choice struct {
	ID     string
	Reason Reason
	Cost   float64
	// Wait is the expected time to the first byte.
	Wait time.Duration
	// Queue is the part of it after the adapter is there.
	Queue time.Duration
	// Age is the age of what the agent told, zero where nothing was told.
	Age        time.Duration
	Candidates [candidatesMax]Candidate
	Count      int
}

// passes are the rules by which servers are left out, each weaker than the one before.
var passes = [...]struct{ muted, excluded bool }{{}, {muted: true}, {muted: true, excluded: true}}

// Choose returns the cheapest server for a request, or false where none may take it. An
// excluded server is chosen again only where no other is left.
func (fl *Fleet) Choose(rq Request, now time.Time) (Choice, bool) {
	ch := Choice{}
	group := fl.groups[rq.Service]
	home := homeOf(group, rq)
	for _, pass := range passes {
		for _, me := range group {
			excluded := slices.Contains(rq.Exclude, me.ID)
			if me.Leaving || me.load.Draining || excluded && !pass.excluded || me.rests(now) && !pass.muted {
				continue
			}
			es := me.estimate(&rq, home, now)
			if es.reason == NoModel {
				continue
			}
			if excluded {
				es.price += againSeconds
			}
			ch.consider(me, es, now)
		}
		if ch.Count > 0 {
			return ch, true
		}
	}
	return ch, false
}

// rests tells whether a server is left out while another can be had.
func (me *member) rests(now time.Time) bool {
	return now.Before(me.mutedTill) || now.Before(me.quietTill) || me.silent(now)
}

// estimate returns what the server would cost.
func (me *member) estimate(rq *Request, home uint64, now time.Time) estimate {
	es := estimate{price: me.faults * faultSeconds, reason: Plain}
	switch {
	case rq.Region != me.Region:
		es.price += crossSeconds
	case rq.Zone != me.Zone:
		es.price += zoneSeconds
	}
	if !me.Engine {
		es.queue = me.placesCost()
		es.wait = es.queue
		return es
	}
	me.stall(&es, rq, home)
	es.queue = me.queueCost(rq, now)
	es.wait += es.queue
	if me.load.BurstMax > 0 && rq.PromptTokens > me.load.BurstMax {
		es.price += min(pausesSeconds, pauseSeconds*float64(me.load.Running))
	}
	return es
}

// placesCost returns the cost of waiting at a plain service.
func (me *member) placesCost() float64 {
	return busySeconds*float64(me.sent)*me.pace + placeSeconds*float64(max(0, me.sent+1-me.Places))
}

// queueCost returns the expected time until an engine has read the request's prompt.
func (me *member) queueCost(rq *Request, now time.Time) float64 {
	backlog := max(0, me.load.Backlog-now.Sub(me.load.At)) + me.added + grant.ReadTime(rq.PromptTokens)
	cost := backlog.Seconds() + stepSeconds*float64(max(me.load.Running, me.sent))
	if me.told && me.load.MemoryFree < rq.PromptTokens {
		cost += memorySeconds
	}
	return cost * me.pace
}

// stall adds the expected wait for the adapter.
func (me *member) stall(es *estimate, rq *Request, home uint64) {
	if !me.told {
		me.untoldStall(es, rq)
		return
	}
	if !me.load.Known || me.load.Model != rq.Model {
		es.reason = NoModel
		return
	}
	es.reason = Holds
	if rq.Adapter == "" {
		return
	}
	idle, used := 0, 0
	for ix := range me.holds {
		ho := &me.holds[ix]
		if ho.Adapter == rq.Adapter {
			ho.stall(es, rq)
			return
		}
		if ho.Users == 0 {
			idle++
		}
		used++
	}
	switch {
	case me.recent.has(rq.Adapter, rq.Version):
		es.wait += reloadSeconds
	case me.hash == home:
		es.wait += me.fetchTime()
	default:
		es.wait += me.fetchTime()
		es.price += fetchSeconds
	}
	es.wait += waitingSeconds * float64(me.load.Waiting)
	switch {
	case used < me.load.Slots:
		es.reason = Room
	case idle > 0:
		es.reason = Evicts
		es.price += evictSeconds
	default:
		es.reason = Full
		es.wait += fullSeconds
	}
}

// fetchTime returns the time of a load from the weight store in seconds, as last measured.
func (me *member) fetchTime() float64 { return max(loadSeconds, me.load.LoadTime.Seconds()) }

// stall adds the wait for an adapter that the engine holds or loads.
func (ho *Hold) stall(es *estimate, rq *Request) {
	switch {
	case !ho.Ready:
		es.wait += loadSeconds / 2
		es.reason = Loads
	case ho.Version < rq.Version && (rq.Settled || ho.Users == 0):
		es.wait += loadSeconds
		es.reason = Loads
	}
}

// untoldStall judges an engine whose agent is silent: only what it is known to hold can run.
func (me *member) untoldStall(es *estimate, rq *Request) {
	es.reason = NoModel
	if me.Model != rq.Model {
		return
	}
	holds := me.holds
	if holds == nil {
		holds = me.Holds
	}
	known := rq.Adapter == "" || slices.ContainsFunc(holds, func(ho Hold) bool {
		return ho.Adapter == rq.Adapter && ho.Ready && (ho.Version >= rq.Version || !rq.Settled)
	})
	if known {
		es.reason = Direct
		es.price += silentSeconds
	}
}

// homeOf returns the server at which an adapter is loaded first, by rendezvous hashing:
// one for all availability zones, so that few engines fetch it, or one in the request's
// own region where the adapter is asked for so often that the way to another region
// costs more than a further fetch. An adapter that some engine has at hand, and that is
// asked for less often, has none: no further fetch of it is free.
func homeOf(group []*member, rq Request) uint64 {
	if rq.Adapter == "" || !rq.Popular && slices.ContainsFunc(group, func(me *member) bool { return me.has(&rq) }) {
		return 0
	}
	best, score := uint64(0), uint64(0)
	for _, me := range group {
		if me.Leaving || rq.Popular && me.Region != rq.Region {
			continue
		}
		if sc := xxh3.HashStringSeed(rq.Adapter, me.hash); best == 0 || sc > score {
			best, score = me.hash, sc
		}
	}
	return best
}

// has tells whether a request's adapter is at hand on an engine that can be asked for it.
func (me *member) has(rq *Request) bool {
	if me.Leaving || me.load.Draining || !me.told {
		return false
	}
	holds := slices.ContainsFunc(me.holds, func(ho Hold) bool { return ho.Adapter == rq.Adapter && ho.Version >= rq.Version })
	return holds || me.recent.has(rq.Adapter, rq.Version)
}

// consider keeps the cheapest candidates in order.
func (ch *Choice) consider(me *member, es estimate, now time.Time) {
	el := Candidate{ID: me.ID, Cost: es.cost()}
	if ch.Count == 0 || el.Cost < ch.Cost {
		ch.ID, ch.Reason, ch.Cost, ch.Age = me.ID, es.reason, el.Cost, 0
		ch.Wait = time.Duration(es.wait * float64(time.Second))
		ch.Queue = time.Duration(es.queue * float64(time.Second))
		if me.told {
			ch.Age = now.Sub(me.load.At)
		}
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
