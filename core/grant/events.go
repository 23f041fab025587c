package grant

import (
	"maps"
	"slices"
	"time"
)

// defaultRetryAfter is the retry delay of a refusal for which no better estimate exists.
const defaultRetryAfter = 300 * time.Millisecond

// Reserve grants, queues or refuses a request.
func (en *Engine) Reserve(rq Request, now time.Time) []Action {
	rq.Arrived = now
	switch {
	case en.leaving:
		return []Action{refusal(&rq, ReasonAgentLeaving, 0, now)}
	case en.observation.Draining:
		return []Action{refusal(&rq, ReasonEngineDraining, 0, now)}
	}
	rq.share = en.shares.of(rq.Organisation, now)
	var larger *share
	if len(en.queue) >= queueMax {
		if larger = en.largerShare(&rq); larger == nil {
			return []Action{refusal(&rq, ReasonQueueFull, retryAfter(&rq, en.drainTime(now)), now)}
		}
	}
	switch reason := en.refusalOf(&rq, now); reason {
	case "":
	case ReasonEngineBusy:
		return []Action{refusal(&rq, reason, 0, now)}
	default:
		return []Action{refusal(&rq, reason, retryAfter(&rq, en.drainTime(now)), now)}
	}
	actions := make([]Action, 0)
	if larger != nil {
		actions = en.displace(larger, now)
	}
	if rq.Key.Adapter != "" {
		en.popularity[rq.Key] = en.popularity[rq.Key].Plus(now, popularityHalfLife)
	}
	en.enqueue(&rq, now)
	actions = append(actions, en.schedule(now)...)
	if ix := en.queueIndex(rq.Attempt); ix >= 0 {
		actions = append(actions, Action{Queue: &Queue{Attempt: rq.Attempt, Entry: rq.Entry, Reason: en.waitReason(&en.queue[ix], now)}})
	}
	return actions
}

// RestoreGrant restores a grant that an entry node still uses after the agent restarted or the
// connection was replaced.
func (en *Engine) RestoreGrant(rq Request, now time.Time) []Action {
	if gr := en.granted[rq.Attempt]; gr != nil {
		gr.Entry, gr.disconnectedAt = rq.Entry, time.Time{}
		return nil
	}
	rq.Arrived = now
	rq.share = en.shares.of(rq.Organisation, now)
	en.addGrant(&rq, now)
	return nil
}

// Started records that the engine has prefilled the prompt of a granted request.
func (en *Engine) Started(attempt string, now time.Time) []Action {
	en.pacer.prefillDone(attempt, now)
	return en.schedule(now)
}

// Release ends a grant or removes a request from the queue; longestPause is the longest gap
// between the events of its stream, zero if it is not known.
func (en *Engine) Release(attempt string, longestPause time.Duration, now time.Time) []Action {
	if ix := en.queueIndex(attempt); ix >= 0 {
		organisation := en.queue[ix].Organisation
		en.removeQueued(ix, now)
		if organisation == "" {
			return nil
		}
		// The adapter that the request waited for may make room for another one.
		return en.schedule(now)
	}
	gr := en.granted[attempt]
	if gr == nil {
		return nil
	}
	en.pacer.recordPause(longestPause, gr.PauseMax, now)
	en.removeGrant(attempt, now)
	return en.schedule(now)
}

// AdapterNotFound records that the engine did not run a request because it lacks the adapter. The
// adapter keeps its slot and gets no grants until the engine has been inspected.
func (en *Engine) AdapterNotFound(attempt string, now time.Time) []Action {
	if gr := en.granted[attempt]; gr != nil {
		en.reportedMissing[gr.Key] = true
	}
	en.nextInspectAt = now
	return en.Release(attempt, 0, now)
}

// EntryDisconnected removes an entry node's queued requests after its connection was lost, and
// marks its grants to expire.
func (en *Engine) EntryDisconnected(entry string, now time.Time) {
	en.removeMatching(func(rq *Request) bool { return rq.Entry == entry }, now)
	for _, gr := range en.granted {
		if gr.Entry == entry {
			gr.disconnectedAt = now
		}
	}
}

// Assignment is what an entry node says about the engine.
type Assignment struct {
	// Model is the base model to load if the engine has none.
	Model string
	// Slots is the number of adapters that the engine can hold at a time.
	Slots int
	// Server is the server ID of the engine process that started at Born.
	Server string
	Born   int64
}

// Prepare sets the engine's base model, number of slots and server ID.
func (en *Engine) Prepare(as Assignment, now time.Time) []Action {
	en.targetModel = as.Model
	en.slots = as.Slots
	runs := as.Born != 0 && as.Born == en.observation.Born
	if runs || as.Born >= en.serverBorn {
		en.serverID, en.serverBorn = as.Server, as.Born
	}
	return en.schedule(now)
}

// InspectionDone processes the engine's answer to an inspection.
func (en *Engine) InspectionDone(observation Observation, now time.Time) []Action {
	en.inspecting = false
	if en.reachable && observation.Born == en.observation.Born && observation.Sequence < en.sequence && en.pendingOrder == nil {
		// The answer was sent before the engine accepted the latest order.
		en.nextInspectAt = now.Add(loadingInspectInterval)
		return nil
	}
	if observation.Born != en.observation.Born {
		en.resetAfterRestart(now)
	}
	en.reachable = true
	en.observation = observation
	if observation.RunsKnown {
		en.pacer.observe(observation.Runs, now)
		if early := now.Add(measureInterval); len(en.granted) > 0 && early.Before(en.nextInspectAt) {
			en.nextInspectAt = early
		}
	}
	en.updateAdapters(observation, now)
	en.sequence = observation.Sequence
	en.lostOrders = slices.DeleteFunc(en.lostOrders, func(lost lostOrder) bool { return en.obsolete(&lost, now) })
	if observation.Draining {
		return en.refuseWaiting(func(*Request) bool { return true }, ReasonEngineDraining, now)
	}
	if loadedModel := en.loadedModel(); loadedModel != "" {
		en.targetModel = loadedModel
	}
	return en.schedule(now)
}

// InspectionFailed records that an inspection got no answer, and refuses all queued requests.
func (en *Engine) InspectionFailed(now time.Time) []Action {
	en.inspecting = false
	en.nextInspectAt = now.Add(inspectInterval)
	en.reachable = false
	actions := en.refuseWaiting(func(*Request) bool { return true }, ReasonEngineSilent, now)
	// The time of silence says nothing on how fast the engine takes requests once it answers.
	en.drain = drainMeter{}
	return actions
}

// Tick removes grants whose entry node stayed away, refuses requests past their deadline and
// schedules the rest. The agent calls it at the time that NextAt returns, or earlier.
func (en *Engine) Tick(now time.Time) []Action {
	for _, attempt := range slices.Sorted(maps.Keys(en.granted)) {
		gr := en.granted[attempt]
		if !gr.disconnectedAt.IsZero() && now.Sub(gr.disconnectedAt) > abandonAfter {
			en.removeGrant(attempt, now)
		}
	}
	en.pacer.expirePrompts(now)
	actions := en.refuseWaiting(func(rq *Request) bool { return !now.Before(rq.Deadline) }, ReasonDeadline, now)
	actions = append(actions, en.refuseUnreachable(now)...)
	return append(actions, en.schedule(now)...)
}

// StopGranting stops giving grants and refuses the queued requests. Given grants stay valid.
func (en *Engine) StopGranting(now time.Time) []Action {
	en.leaving = true
	return en.refuseWaiting(func(*Request) bool { return true }, ReasonAgentLeaving, now)
}

// Idle reports whether no grant is in use.
func (en *Engine) Idle() bool { return len(en.granted) == 0 }

// resetAfterRestart discards what the previous engine process had loaded.
func (en *Engine) resetAfterRestart(now time.Time) {
	if en.pendingOrder != nil {
		en.recordLostOrder(en.pendingOrder, now)
	}
	clear(en.loaded)
	clear(en.loading)
	en.hostCache = nil
	en.pendingOrder = nil
	en.pacer.reset()
	en.drain = drainMeter{}
	en.retiring = Key{}
}

// updateAdapters replaces the loaded adapters by those that the engine reports, and updates the
// loads in flight.
func (en *Engine) updateAdapters(ob Observation, now time.Time) {
	clear(en.loaded)
	clear(en.reportedMissing)
	for _, mo := range ob.Models {
		for adapter, version := range mo.Adapters {
			ke := Key{Model: mo.Name, Adapter: adapter}
			en.loaded[ke] = version
			en.markCached(ke)
		}
	}
	for ke, version := range ob.Coming {
		if _, ok := en.loading[ke]; !ok {
			en.loading[ke] = pendingLoad{version: version, startedAt: now, inspectAt: now.Add(loadingInspectInterval)}
		}
	}
	for ke, pl := range en.loading {
		if en.pendingOrder == nil || en.pendingOrder.Key != ke {
			en.updateLoading(ke, pl, ob, now)
		}
	}
}

// updateLoading removes an adapter from those that are loading if its load has completed or
// failed.
func (en *Engine) updateLoading(ke Key, pl pendingLoad, ob Observation, now time.Time) {
	loaded, ok := en.loaded[ke]
	_, stillLoading := ob.Coming[ke]
	took := now.Sub(pl.startedAt)
	completed := ok && loaded >= pl.version
	failed := took > abandonAfter || !ok && took > storeLoadTime
	if stillLoading || !completed && !failed {
		pl.inspectAt = later(pl.inspectAt, now.Add(loadingInspectInterval))
		en.loading[ke] = pl
		return
	}
	delete(en.loading, ke)
	if pl.fromStore && completed {
		en.averageLoadTime += time.Duration(loadTimeWeight * float64(took-en.averageLoadTime))
	}
}

// later returns the later of two times.
func later(aa, bb time.Time) time.Time {
	if aa.After(bb) {
		return aa
	}
	return bb
}

// markCached records an adapter as the one that the engine's host has used most recently.
func (en *Engine) markCached(ke Key) {
	en.hostCache = slices.DeleteFunc(en.hostCache, func(other Key) bool { return other == ke })
	en.hostCache = append(en.hostCache, ke)
	if len(en.hostCache) > HostCacheMax {
		en.hostCache = en.hostCache[1:]
	}
}

// queueIndex returns the index of an attempt in the queue, or -1.
func (en *Engine) queueIndex(attempt string) int {
	return slices.IndexFunc(en.queue, func(rq Request) bool { return rq.Attempt == attempt })
}

// refuseWaiting removes the matching requests from the queue and refuses them.
func (en *Engine) refuseWaiting(match func(rq *Request) bool, reason string, now time.Time) []Action {
	drainTime := en.drainTime(now)
	removed := en.removeMatching(match, now)
	actions := make([]Action, 0, len(removed))
	for ix := range removed {
		actions = append(actions, refusal(&removed[ix], reason, retryAfter(&removed[ix], drainTime), now))
	}
	return actions
}

// refusal returns the action that refuses a request.
func refusal(rq *Request, reason string, retryAfter time.Duration, now time.Time) Action {
	return Action{Refuse: &Refuse{
		Attempt: rq.Attempt, Entry: rq.Entry, Reason: reason, RetryAfter: retryAfter, Organisation: rq.Organisation, Waited: now.Sub(rq.Arrived),
	}}
}
