package grant

import (
	"maps"
	"slices"
	"time"
)

// refusalWait is when to come back after a refusal that tells nothing better.
const refusalWait = 300 * time.Millisecond

// Reserve takes a request for a grant.
func (en *Engine) Reserve(it Item, now time.Time) []Action {
	it.Arrived = now
	switch {
	case en.leaving:
		return []Action{refuse(&it, ReasonLeaving, 0)}
	case en.ob.Draining:
		return []Action{refuse(&it, ReasonDraining, 0)}
	case len(en.queue) >= queueMax:
		return []Action{refuse(&it, ReasonQueueFull, refusalWait)}
	case !now.Before(it.Deadline):
		return []Action{refuse(&it, ReasonDeadline, refusalWait)}
	}
	if it.Key.Adapter != "" {
		en.popular[it.Key] = en.popular[it.Key].Plus(now, popularityHalfLife)
	}
	en.queue = append(en.queue, it)
	actions := en.plan(now)
	if ix := en.queued(it.Attempt); ix >= 0 {
		actions = append(actions, Action{Queue: &Queue{Attempt: it.Attempt, Entry: it.Entry, Reason: en.obstacle(&en.queue[ix], now)}})
	}
	return actions
}

// Adopt takes a grant of an earlier run or connection that an entry node still uses.
func (en *Engine) Adopt(it Item, now time.Time) []Action {
	if he := en.held[it.Attempt]; he != nil {
		he.Entry, he.orphaned = it.Entry, time.Time{}
		return nil
	}
	it.Arrived = now
	en.held[it.Attempt] = &held{Item: it}
	return nil
}

// Started records that the engine has read the prompt of a granted request.
func (en *Engine) Started(attempt string, now time.Time) []Action {
	en.reads.started(attempt, now)
	return en.plan(now)
}

// Release ends a grant, or takes a request out of the queue; longest is the longest pause
// between the events of its stream, zero where it is not known.
func (en *Engine) Release(attempt string, longest time.Duration, now time.Time) []Action {
	if ix := en.queued(attempt); ix >= 0 {
		en.queue = slices.Delete(en.queue, ix, ix+1)
		return nil
	}
	he := en.held[attempt]
	if he == nil {
		return nil
	}
	en.reads.paused(longest, he.PauseMax, now)
	en.drop(attempt, now)
	return en.plan(now)
}

// drop takes a granted request out.
func (en *Engine) drop(attempt string, now time.Time) {
	delete(en.held, attempt)
	en.reads.ended(attempt, now)
}

// Missing records that the engine has not run a request because it lacks the adapter.
// The adapter keeps its slot and gets no grants until the engine has been asked.
func (en *Engine) Missing(attempt string, now time.Time) []Action {
	if he := en.held[attempt]; he != nil {
		en.doubtful[he.Key] = true
	}
	en.inspectAt = now
	return en.Release(attempt, 0, now)
}

// Disconnected takes the loss of an entry node's connection.
func (en *Engine) Disconnected(entry string, now time.Time) {
	en.queue = slices.DeleteFunc(en.queue, func(it Item) bool { return it.Entry == entry })
	for _, he := range en.held {
		if he.Entry == entry {
			he.orphaned = now
		}
	}
}

// Wanted is what entry nodes know of the engine.
type Wanted struct {
	// Model is the base model to load where the engine holds none.
	Model string
	// Slots is the number of adapters that the engine has room for.
	Slots int
	// Server is the identity of the run that began at Born.
	Server string
	Born   int64
}

// Prepare takes what the engine is to hold and its identity.
func (en *Engine) Prepare(wa Wanted, now time.Time) []Action {
	en.wantedModel = wa.Model
	en.slots = wa.Slots
	if wa.Born >= en.serverBorn {
		en.server, en.serverBorn = wa.Server, wa.Born
	}
	return en.plan(now)
}

// Observed takes what the engine says of itself.
func (en *Engine) Observed(ob Observation, now time.Time) []Action {
	en.inspecting = false
	if en.known && ob.Born == en.ob.Born && ob.Sequence < en.sequence && en.order == nil {
		// The answer is older than an order that was counted since.
		en.inspectAt = now.Add(inspectSoon)
		return nil
	}
	if ob.Born != en.ob.Born {
		en.restarted(now)
	}
	en.known = true
	en.ob = ob
	en.takeHolds(ob, now)
	en.sequence = ob.Sequence
	en.lost = slices.DeleteFunc(en.lost, func(lo lostOrder) bool { return en.void(&lo, now) })
	if ob.Draining {
		return en.refuseWaiting(func(*Item) bool { return true }, ReasonDraining)
	}
	if model := en.model(); model != "" {
		en.wantedModel = model
	}
	return en.plan(now)
}

// Silent records that the engine did not answer an inspection.
func (en *Engine) Silent(now time.Time) []Action {
	en.inspecting = false
	en.inspectAt = now.Add(inspectIdle)
	en.known = false
	return en.refuseWaiting(func(*Item) bool { return true }, ReasonUnknown)
}

// Ordered takes the result of an order; that of an order to an earlier run changes nothing.
func (en *Engine) Ordered(given Order, re Result, now time.Time) []Action {
	or := en.order
	if or == nil || *or != given {
		return nil
	}
	en.order = nil
	switch re {
	case Accepted:
		en.sequence = or.Sequence + 1
		en.carriedOut(or, now)
	case Holds:
		// An unload of an idle adapter takes effect at once and is counted.
		if or.Operation == UnloadAdapter {
			en.sequence = or.Sequence + 1
		} else {
			en.inspectAt = now
		}
		en.carriedOut(or, now)
	case Conflict, Rejected:
		delete(en.coming, or.Key)
		en.orderAt = now.Add(conflictWait)
		en.inspectAt = now
	case Lost:
		delete(en.coming, or.Key)
		en.lose(or, now)
		en.orderAt = now.Add(conflictWait)
		en.inspectAt = now
	}
	return en.plan(now)
}

// carriedOut enters the effect of an order.
func (en *Engine) carriedOut(or *Order, now time.Time) {
	switch or.Operation {
	case LoadModel:
		en.modelDue = now.Add(inspectIdle)
	case LoadAdapter:
		en.loads++
		lo := loading{version: or.Version, since: now, due: now.Add(reloadTime)}
		if !slices.Contains(en.recent, or.Key) {
			lo.fetched = true
			lo.due = now.Add(loadTime)
		}
		en.coming[or.Key] = lo
		en.remember(or.Key)
	case UnloadAdapter:
		en.evictions++
		delete(en.loaded, or.Key)
	}
}

// Tick advances time: it refuses requests whose time has run out, frees the grants of
// lost entry nodes and plans anew.
func (en *Engine) Tick(now time.Time) []Action {
	for _, attempt := range slices.Sorted(maps.Keys(en.held)) {
		he := en.held[attempt]
		if !he.orphaned.IsZero() && now.Sub(he.orphaned) > orphanMax {
			en.drop(attempt, now)
		}
	}
	en.reads.expire(now)
	actions := en.refuseWaiting(func(it *Item) bool { return !now.Before(it.Deadline) }, ReasonDeadline)
	return append(actions, en.plan(now)...)
}

// Leave stops new grants; those given are used up.
func (en *Engine) Leave() []Action {
	en.leaving = true
	return en.refuseWaiting(func(*Item) bool { return true }, ReasonLeaving)
}

// Idle tells whether no grant is in use.
func (en *Engine) Idle() bool { return len(en.held) == 0 }

// restarted forgets what an earlier run of the engine held.
func (en *Engine) restarted(now time.Time) {
	if en.order != nil {
		en.lose(en.order, now)
	}
	clear(en.loaded)
	clear(en.coming)
	en.recent = nil
	en.order = nil
	en.reads.forget()
}

// lose records an order without an answer: a load may still be carried out.
func (en *Engine) lose(or *Order, now time.Time) {
	if or.Operation == LoadAdapter {
		en.lost = append(en.lost, lostOrder{Order: *or, at: now})
	}
}

// void tells whether a lost order can no longer be carried out: a later one has been
// counted, it was addressed to another run, or its time is over.
func (en *Engine) void(lo *lostOrder, now time.Time) bool {
	otherRun := lo.Born != en.ob.Born && lo.Server != "" && en.identity() != "" && lo.Server != en.identity()
	return en.ob.Sequence > lo.Sequence || otherRun || now.Sub(lo.at) > lostMax
}

// identity returns the engine's identity, or nothing where its present run's is not known.
func (en *Engine) identity() string {
	if en.serverBorn != en.ob.Born {
		return ""
	}
	return en.server
}

// takeHolds takes the adapters that the engine holds or loads.
func (en *Engine) takeHolds(ob Observation, now time.Time) {
	clear(en.loaded)
	clear(en.doubtful)
	for _, mo := range ob.Models {
		for adapter, version := range mo.Adapters {
			ke := Key{Model: mo.Name, Adapter: adapter}
			en.loaded[ke] = version
			en.remember(ke)
		}
	}
	for ke, version := range ob.Coming {
		if _, ok := en.coming[ke]; !ok {
			en.coming[ke] = loading{version: version, since: now, due: now.Add(inspectSoon)}
		}
	}
	for ke, lo := range en.coming {
		if en.order == nil || en.order.Key != ke {
			en.settleComing(ke, lo, ob, now)
		}
	}
}

// settleComing takes an adapter that has arrived, or never will, off those on their way.
func (en *Engine) settleComing(ke Key, lo loading, ob Observation, now time.Time) {
	loaded, ok := en.loaded[ke]
	_, still := ob.Coming[ke]
	took := now.Sub(lo.since)
	arrived := ok && loaded >= lo.version
	failed := took > orphanMax || !ok && took > loadTime
	if still || !arrived && !failed {
		lo.due = later(lo.due, now.Add(inspectSoon))
		en.coming[ke] = lo
		return
	}
	delete(en.coming, ke)
	if lo.fetched && arrived {
		en.loadTook += time.Duration(loadWeight * float64(took-en.loadTook))
	}
}

// later returns the later of two times.
func later(aa, bb time.Time) time.Time {
	if aa.After(bb) {
		return aa
	}
	return bb
}

// remember puts an adapter first among those the engine's host has at hand.
func (en *Engine) remember(ke Key) {
	en.recent = slices.DeleteFunc(en.recent, func(other Key) bool { return other == ke })
	en.recent = append(en.recent, ke)
	if len(en.recent) > RecentMax {
		en.recent = en.recent[1:]
	}
}

// queued returns the place of an attempt in the queue, or -1.
func (en *Engine) queued(attempt string) int {
	return slices.IndexFunc(en.queue, func(it Item) bool { return it.Attempt == attempt })
}

// refuseWaiting takes the requests that match out of the queue and refuses them.
func (en *Engine) refuseWaiting(match func(it *Item) bool, reason string) []Action {
	actions := make([]Action, 0)
	kept := en.queue[:0]
	for ix := range en.queue {
		it := en.queue[ix]
		if match(&it) {
			actions = append(actions, refuse(&it, reason, refusalWait))
			continue
		}
		kept = append(kept, it)
	}
	en.queue = kept
	return actions
}

// refuse builds a refusal.
func refuse(it *Item, reason string, wait time.Duration) Action {
	return Action{Refuse: &Refuse{Attempt: it.Attempt, Entry: it.Entry, Reason: reason, RetryAfter: wait}}
}
