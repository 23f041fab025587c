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
	// evictSeconds is the price of an eviction: another request may want the adapter.
	evictSeconds = 0.05
	// fullSeconds is the wait where every adapter is in use.
	fullSeconds = 0.8
	// homeSeconds is what an engine costs that has not held the adapter before.
	homeSeconds = 0.2
	// homes is the number of engines per zone where an adapter is loaded first.
	homes = 1
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
	faultSeconds = 2.0
	// waitingSeconds is the wait for each request queued at the agent.
	waitingSeconds = 0.02
	// silentSeconds is the cost of an engine whose agent is silent.
	silentSeconds = 0.15

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
	Settled      bool
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
	// Age is the age of what the agent told, zero where nothing was told.
	Age        time.Duration
	Candidates [candidatesMax]Candidate
	Count      int
}

// Choose returns the cheapest server for a request, or false where none may take it.
func (fl *Fleet) Choose(rq Request, now time.Time) (Choice, bool) {
	ch := Choice{}
	group := fl.groups[rq.Service]
	home := homesOf(group, rq)
	for pass := range 2 {
		for _, me := range group {
			if !me.eligible(&rq, now, pass > 0) {
				continue
			}
			cost, reason := me.cost(&rq, home, now)
			if reason == NoModel {
				continue
			}
			ch.consider(me, cost, reason, now)
		}
		if ch.Count > 0 {
			return ch, true
		}
	}
	return ch, false
}

// eligible tells whether a server may be chosen; where no sound one is left, those that fail are tried as well.
func (me *member) eligible(rq *Request, now time.Time, desperate bool) bool {
	if me.Leaving || slices.Contains(rq.Exclude, me.ID) {
		return false
	}
	return desperate || !now.Before(me.mutedTill)
}

// cost returns the expected seconds to the first byte.
func (me *member) cost(rq *Request, home []uint64, now time.Time) (float64, Reason) {
	cost := me.faults * faultSeconds
	switch {
	case rq.Region != me.Region:
		cost += crossSeconds
	case rq.Zone != me.Zone:
		cost += zoneSeconds
	}
	if !me.Engine {
		return cost + me.placesCost(), Plain
	}
	stall, reason := me.stall(rq, home)
	if reason == NoModel {
		return 0, reason
	}
	return cost + stall + me.queueCost(rq, now), reason
}

// placesCost returns the cost of waiting at a plain service.
func (me *member) placesCost() float64 {
	return busySeconds*float64(me.sent)*me.pace + placeSeconds*float64(max(0, me.sent+1-me.Places))
}

// queueCost returns the expected time until an engine has read the request's prompt.
func (me *member) queueCost(rq *Request, now time.Time) float64 {
	backlog := max(0, me.load.Backlog-now.Sub(me.load.At)) + me.added + grant.ReadTime(rq.PromptTokens)
	cost := backlog.Seconds() + stepSeconds*float64(max(me.load.Running, me.sent)) + waitingSeconds*float64(me.load.Waiting)
	if me.told && me.load.MemoryFree < rq.PromptTokens {
		cost += memorySeconds
	}
	return cost * me.pace
}

// stall returns the expected wait for the adapter.
func (me *member) stall(rq *Request, home []uint64) (float64, Reason) {
	if !me.told {
		return me.untoldStall(rq)
	}
	if !me.load.Known || me.load.Model != rq.Model {
		return 0, NoModel
	}
	if rq.Adapter == "" {
		return 0, Holds
	}
	idle, used := 0, 0
	for ix := range me.holds {
		ho := &me.holds[ix]
		if ho.Adapter == rq.Adapter {
			return me.holdStall(ho, rq)
		}
		if ho.Users == 0 {
			idle++
		}
		used++
	}
	away := 0.0
	if !slices.Contains(home, me.hash) {
		away = homeSeconds
	}
	switch {
	case used < me.load.Slots:
		return loadSeconds + away, Room
	case idle > 0:
		return loadSeconds + evictSeconds + away, Evicts
	}
	return loadSeconds + fullSeconds + away, Full
}

// holdStall returns the wait for an adapter that the engine holds or loads.
func (me *member) holdStall(ho *Hold, rq *Request) (float64, Reason) {
	if !ho.Ready {
		return loadSeconds / 2, Loads
	}
	if ho.Version < rq.Version && (rq.Settled || ho.Users == 0) {
		return loadSeconds, Loads
	}
	return 0, Holds
}

// untoldStall returns the cost of an engine whose agent is silent: only what it is known to hold can run.
func (me *member) untoldStall(rq *Request) (float64, Reason) {
	holds := me.holds
	if holds == nil {
		holds = me.Holds
	}
	if me.Model != rq.Model {
		return 0, NoModel
	}
	if rq.Adapter == "" {
		return silentSeconds, Direct
	}
	for ix := range holds {
		if holds[ix].Adapter == rq.Adapter && holds[ix].Ready && (holds[ix].Version >= rq.Version || !rq.Settled) {
			return silentSeconds, Direct
		}
	}
	return 0, NoModel
}

// homesOf returns the servers of the request's zone, or of all zones where it has
// none, at which an adapter is loaded first, by rendezvous hashing.
func homesOf(group []*member, rq Request) []uint64 {
	if rq.Adapter == "" {
		return nil
	}
	best := make([]uint64, 0, homes)
	score := uint64(0)
	for _, me := range group {
		if me.Zone != rq.Zone || me.Leaving {
			continue
		}
		if sc := xxh3.HashStringSeed(rq.Adapter, me.hash); len(best) == 0 || sc > score {
			best, score = append(best[:0], me.hash), sc
		}
	}
	return best
}

// consider keeps the cheapest candidates in order.
func (ch *Choice) consider(me *member, cost float64, reason Reason, now time.Time) {
	el := Candidate{ID: me.ID, Cost: cost}
	if ch.Count == 0 || cost < ch.Cost {
		ch.ID, ch.Reason, ch.Cost, ch.Age = me.ID, reason, cost, 0
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
