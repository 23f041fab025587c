package grant

import (
	"slices"
	"time"
)

// schedule grants the requests that can run, gives the next order and starts an inspection if
// one is due.
func (en *Engine) schedule(now time.Time) []Action {
	actions := make([]Action, 0)
	en.shares.update(now)
	en.drain.advance(now)
	if en.reachable {
		actions = en.grantRunnable(actions, now)
		actions = en.orderNext(actions, now)
	}
	if en.inspectDue(now) {
		en.inspecting = true
		en.nextInspectAt = now.Add(inspectInterval)
		actions = append(actions, Action{Inspect: &Inspect{}})
	}
	return actions
}

// inspectDue reports whether the engine should be inspected now.
func (en *Engine) inspectDue(now time.Time) bool {
	if en.inspecting {
		return false
	}
	if !now.Before(en.nextInspectAt) {
		return true
	}
	for _, pl := range en.loading {
		if !now.Before(pl.inspectAt) {
			return true
		}
	}
	return false
}

// NextAt returns the time by which Tick must be called next.
func (en *Engine) NextAt(now time.Time) time.Time {
	next := now.Add(inspectInterval)
	if !en.inspecting && en.nextInspectAt.Before(next) {
		next = en.nextInspectAt
	}
	for _, pl := range en.loading {
		if !en.inspecting && pl.inspectAt.Before(next) {
			next = pl.inspectAt
		}
	}
	if len(en.queue) > 0 && en.nextReviewAt.After(now) && en.nextReviewAt.Before(next) {
		next = en.nextReviewAt
	}
	if len(en.queue) > 0 && en.nextOrderAt.After(now) && en.nextOrderAt.Before(next) {
		next = en.nextOrderAt
	}
	return next
}

// grantRunnable grants the queued requests that can run, in the order of bestWaiting. Memory is checked first: it
// rejects most requests of a long queue and costs least.
func (en *Engine) grantRunnable(actions []Action, now time.Time) []Action {
	for {
		full := false
		ix := en.bestWaiting(now, func(rq *Request) bool {
			if !en.fits(rq) {
				full = full || rq.Key.Adapter == "" || en.isLoaded(rq.Key)
				return false
			}
			return en.waitReason(rq, now) == ""
		})
		if ix < 0 {
			en.drain.full = full
			return actions
		}
		rq := en.queue[ix]
		rq.share.countGrant(en.late(&rq, now))
		en.shares.charge(rq.share, rq.tokens())
		en.drain.granted(rq.tokens())
		en.removeQueued(ix, now)
		en.addGrant(&rq, now)
		if rq.Key.Adapter != "" {
			en.loadStall += now.Sub(rq.Arrived)
			en.markCached(rq.Key)
		}
		en.pacer.promptGranted(rq.Attempt, rq.PromptTokens, now)
		actions = append(actions, Action{Grant: &Grant{Attempt: rq.Attempt, Entry: rq.Entry, Version: en.loaded[rq.Key]}})
	}
}

// waitReason returns why a request cannot be granted now, or "" if it can.
func (en *Engine) waitReason(rq *Request, now time.Time) string {
	if !en.reachable {
		return ReasonEngineSilent
	}
	if !en.modelLoaded(rq.Key.Model) {
		return ReasonModelLoading
	}
	if rq.Key.Adapter != "" && !en.adapterReady(rq) {
		return ReasonAdapterLoading
	}
	if !en.fits(rq) {
		return ReasonMemoryFull
	}
	if !en.pacer.allows(rq.PromptTokens, rq.PauseMax, now.Sub(rq.Arrived), now) {
		return ReasonPrefillBusy
	}
	return ""
}

// fits reports whether the engine has memory for a request. One request at a time always fits.
func (en *Engine) fits(rq *Request) bool {
	return len(en.granted) == 0 || en.observation.MemoryTotal <= 0 || en.memoryFree() >= rq.tokens()
}

// adapterReady reports whether a request's adapter is loaded in a version that the request
// accepts, and stays loaded: no order or load for it is in flight and it was not reported missing.
func (en *Engine) adapterReady(rq *Request) bool {
	version, ok := en.loaded[rq.Key]
	_, loading := en.loading[rq.Key]
	hasOrder := en.pendingOrder != nil && en.pendingOrder.Key == rq.Key
	if !ok || loading || hasOrder || en.reportedMissing[rq.Key] || en.retiring == rq.Key {
		return false
	}
	return version >= rq.Version || version >= rq.VersionMin && en.pinCount(rq.Key) > 0
}

// modelLoaded reports whether the engine has loaded a base model.
func (en *Engine) modelLoaded(model string) bool {
	return slices.ContainsFunc(en.observation.Models, func(mo Model) bool { return mo.Name == model })
}

// orderNext gives the engine its next order if none is in flight.
func (en *Engine) orderNext(actions []Action, now time.Time) []Action {
	if en.pendingOrder != nil || now.Before(en.nextOrderAt) || en.observation.Busy {
		return actions
	}
	if len(en.observation.Models) == 0 {
		model := en.modelToLoad()
		if model == "" || now.Before(en.nextModelOrderAt) {
			return actions
		}
		return en.issueOrder(actions, Order{Operation: LoadModel, Key: Key{Model: model}})
	}
	if len(en.loading) >= en.loadsInFlightLimit() {
		return actions
	}
	ix := en.bestWaiting(now, en.needsLoad)
	if ix < 0 {
		en.retiring = Key{}
		return actions
	}
	rq := &en.queue[ix]
	// An idle old version makes room for the new one.
	if _, replacesOld := en.loaded[rq.Key]; replacesOld && en.pinCount(rq.Key) == 0 {
		return en.issueOrder(actions, Order{Operation: UnloadAdapter, Key: rq.Key})
	}
	if en.slotsTaken() < en.slots {
		en.loadingFor, en.retiring = rq.share, Key{}
		return en.issueOrder(actions, Order{Operation: LoadAdapter, Key: rq.Key, Version: rq.Version})
	}
	if now.Sub(en.startedAt) < evictionHoldoff {
		return actions
	}
	if victim, ok := en.victim(now); ok {
		return en.issueOrder(actions, Order{Operation: UnloadAdapter, Key: victim})
	}
	if retired, ok := en.retire(rq, now); ok {
		return en.issueOrder(actions, Order{Operation: UnloadAdapter, Key: retired})
	}
	return actions
}

// loadsInFlightLimit returns how many adapters the engine may load at a time, given how fast
// the weight store serves all engines.
func (en *Engine) loadsInFlightLimit() int {
	if float64(en.averageLoadTime) > slowLoadFactor*float64(storeLoadTime) {
		return 1
	}
	return loadsInFlightMax
}

// modelToLoad returns the base model to load: the one that entry nodes want or, if none is
// known, the only one on the host's disk. The latter lets an engine recover after a restart
// while no entry node can be reached.
func (en *Engine) modelToLoad() string {
	if en.targetModel == "" && len(en.observation.AtHand) == 1 {
		return en.observation.AtHand[0]
	}
	return en.targetModel
}

// needsLoad reports whether a request waits for an adapter version that is neither loaded nor
// loading.
func (en *Engine) needsLoad(rq *Request) bool {
	if rq.Key.Adapter == "" || !en.modelLoaded(rq.Key.Model) {
		return false
	}
	if _, loading := en.loading[rq.Key]; loading || en.reportedMissing[rq.Key] {
		return false
	}
	version, ok := en.loaded[rq.Key]
	return !ok || version < rq.Version
}

// slotsTaken returns the number of adapter slots in use. While a new version loads, it and the
// version that it replaces take a slot each. A lost load takes a slot until it is known that it
// cannot be carried out.
func (en *Engine) slotsTaken() int {
	slotsTaken := len(en.loaded) + len(en.loading)
	if len(en.lostOrders) > 0 {
		// All lost loads expect the same sequence number, so the engine carries out at most
		// one.
		slotsTaken++
	}
	return slotsTaken
}

// victim returns the least popular loaded adapter that no request uses or waits for.
func (en *Engine) victim(now time.Time) (Key, bool) {
	candidate, lowest, found := Key{}, 0.0, false
	for ke := range en.loaded {
		if _, loading := en.loading[ke]; loading || en.pinCount(ke) > 0 || en.waitingCount(ke) > 0 {
			continue
		}
		count := en.popularity[ke].At(now, popularityHalfLife)
		if !found || count < lowest || count == lowest && ke.Adapter < candidate.Adapter {
			candidate, lowest, found = ke, count, true
		}
	}
	return candidate, found
}

// issueOrder records an order as in flight and returns the actions with it appended.
func (en *Engine) issueOrder(actions []Action, or Order) []Action {
	or.Sequence = en.sequence
	or.Born = en.observation.Born
	or.Server = en.currentServerID()
	en.pendingOrder = &or
	return append(actions, Action{Order: &or})
}
