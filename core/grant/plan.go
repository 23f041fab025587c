package grant

import (
	"slices"
	"time"
)

// plan grants what can run, orders loads for what cannot and inspects the engine when that is due.
func (en *Engine) plan(now time.Time) []Action {
	actions := make([]Action, 0)
	if en.known {
		actions = en.grantReady(actions, now)
		actions = en.planOrder(actions, now)
	}
	if en.inspectDue(now) {
		en.inspecting = true
		en.inspectAt = now.Add(inspectIdle)
		actions = append(actions, Action{Inspect: &Inspect{}})
	}
	return actions
}

// inspectDue tells whether the engine is to be asked what it holds.
func (en *Engine) inspectDue(now time.Time) bool {
	if en.inspecting {
		return false
	}
	if !now.Before(en.inspectAt) {
		return true
	}
	for _, lo := range en.coming {
		if !now.Before(lo.due) {
			return true
		}
	}
	return false
}

// NextAt returns when Tick has something to do at the latest.
func (en *Engine) NextAt(now time.Time) time.Time {
	next := now.Add(inspectIdle)
	if !en.inspecting && en.inspectAt.Before(next) {
		next = en.inspectAt
	}
	for _, lo := range en.coming {
		if !en.inspecting && lo.due.Before(next) {
			next = lo.due
		}
	}
	if len(en.queue) > 0 && en.orderAt.After(now) && en.orderAt.Before(next) {
		next = en.orderAt
	}
	return next
}

// grantReady grants the waiting requests that can run, in the order of their rank.
func (en *Engine) grantReady(actions []Action, now time.Time) []Action {
	for {
		ix := en.first(now, func(it *Item) bool { return en.obstacle(it, now) == "" })
		if ix < 0 {
			return actions
		}
		it := en.queue[ix]
		en.queue = slices.Delete(en.queue, ix, ix+1)
		en.held[it.Attempt] = &held{Item: it}
		if it.Key.Adapter != "" {
			en.stall += now.Sub(it.Arrived)
			en.remember(it.Key)
		}
		en.reads.granted(it.Attempt, it.PromptTokens, now)
		actions = append(actions, Action{Grant: &Grant{Attempt: it.Attempt, Entry: it.Entry, Version: en.loaded[it.Key]}})
	}
}

// obstacle returns why a request must wait, or nothing.
func (en *Engine) obstacle(it *Item, now time.Time) string {
	if !en.known {
		return ReasonUnknown
	}
	if !en.holdsModel(it.Key.Model) {
		return ReasonModel
	}
	if it.Key.Adapter != "" && !en.adapterReady(it) {
		return ReasonAdapter
	}
	if len(en.held) > 0 && en.ob.MemoryTotal > 0 && en.memoryFree() < it.PromptTokens+it.OutputTokens {
		return ReasonMemory
	}
	if !en.reads.allows(it.PromptTokens, now.Sub(it.Arrived), now) {
		return ReasonReading
	}
	return ""
}

// adapterReady tells whether a request's adapter is loaded and stays so, in a version that
// the request may run on.
func (en *Engine) adapterReady(it *Item) bool {
	version, ok := en.loaded[it.Key]
	_, coming := en.coming[it.Key]
	ordered := en.order != nil && en.order.Key == it.Key
	if !ok || coming || ordered || en.doubtful[it.Key] {
		return false
	}
	return version >= it.Version || !it.Settled && en.pins(it.Key) > 0
}

// holdsModel tells whether the engine holds a base model.
func (en *Engine) holdsModel(model string) bool {
	return slices.ContainsFunc(en.ob.Models, func(mo Model) bool { return mo.Name == model })
}

// first returns the waiting request of the highest rank that matches, or -1.
func (en *Engine) first(now time.Time, match func(it *Item) bool) int {
	best := -1
	for ix := range en.queue {
		if !match(&en.queue[ix]) {
			continue
		}
		if best < 0 || en.queue[ix].rank(now) > en.queue[best].rank(now) {
			best = ix
		}
	}
	return best
}

// planOrder gives the next order, one at a time.
func (en *Engine) planOrder(actions []Action, now time.Time) []Action {
	if en.order != nil || now.Before(en.orderAt) || en.ob.Busy {
		return actions
	}
	if len(en.ob.Models) == 0 {
		model := en.nextModel()
		if model == "" || now.Before(en.modelDue) {
			return actions
		}
		return en.give(actions, Order{Operation: LoadModel, Key: Key{Model: model}})
	}
	if len(en.coming) >= en.loadsNow() {
		return actions
	}
	ix := en.first(now, en.needsLoad)
	if ix < 0 {
		return actions
	}
	it := &en.queue[ix]
	if _, replaces := en.loaded[it.Key]; replaces && en.pins(it.Key) == 0 {
		return en.give(actions, Order{Operation: UnloadAdapter, Key: it.Key})
	}
	if en.taken() < en.slots {
		return en.give(actions, Order{Operation: LoadAdapter, Key: it.Key, Version: it.Version})
	}
	if now.Sub(en.started) < settleMax {
		return actions
	}
	if victim, ok := en.victim(now); ok {
		return en.give(actions, Order{Operation: UnloadAdapter, Key: victim})
	}
	return actions
}

// loadsNow returns how many adapters may be on their way to the engine, under the load
// of all engines on the weight store.
func (en *Engine) loadsNow() int {
	if float64(en.loadTook) > slowLoads*float64(loadTime) {
		return 1
	}
	return loadsMax
}

// nextModel returns the base model to load: the one that entry nodes name or, after a
// restart while none of them can be reached, the only one the host has a copy of.
func (en *Engine) nextModel() string {
	if en.wantedModel == "" && len(en.ob.AtHand) == 1 {
		return en.ob.AtHand[0]
	}
	return en.wantedModel
}

// needsLoad tells whether a request waits for an adapter that is not on its way.
func (en *Engine) needsLoad(it *Item) bool {
	if it.Key.Adapter == "" || !en.holdsModel(it.Key.Model) {
		return false
	}
	if _, coming := en.coming[it.Key]; coming || en.doubtful[it.Key] {
		return false
	}
	version, ok := en.loaded[it.Key]
	return !ok || version < it.Version
}

// taken counts the adapter slots in use. An adapter on its way takes one beside the
// version that it replaces, and a lost load one until it is known to be void.
func (en *Engine) taken() int {
	taken := len(en.loaded) + len(en.coming)
	if len(en.lost) > 0 {
		// All expect the same count, so that one at most is carried out.
		taken++
	}
	return taken
}

// victim returns the least popular adapter that no request uses or waits for.
func (en *Engine) victim(now time.Time) (Key, bool) {
	best, least, found := Key{}, 0.0, false
	for ke := range en.loaded {
		if _, coming := en.coming[ke]; coming || en.pins(ke) > 0 || en.waitingFor(ke) > 0 {
			continue
		}
		count := en.popular[ke].At(now, popularityHalfLife)
		if !found || count < least || count == least && ke.Adapter < best.Adapter {
			best, least, found = ke, count, true
		}
	}
	return best, found
}

// give records an order as under way.
func (en *Engine) give(actions []Action, or Order) []Action {
	or.Sequence = en.sequence
	or.Born = en.ob.Born
	or.Server = en.identity()
	en.order = &or
	return append(actions, Action{Order: &or})
}
