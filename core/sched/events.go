package sched

import (
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

// Submit queues or refuses a request.
func (sc *Scheduler) Submit(qr QueuedRequest, now time.Time) []Action {
	sc.accountBatchTime(now)
	switch {
	case sc.leaving:
		return []Action{refusal(qr.Attempt, ReasonAgentLeaving, 0)}
	case !now.Before(qr.Deadline):
		return []Action{refusal(qr.Attempt, ReasonDeadline, defaultRetryAfter)}
	case len(sc.queue) >= queuePerPlaceMax*sc.places:
		return []Action{refusal(qr.Attempt, ReasonQueueFull, defaultRetryAfter)}
	}
	qr.Arrived = now
	qr.countsAsStall = qr.Adapter != (conf.AdapterVersion{}) && !sc.runnable(&qr)
	if qr.Adapter != (conf.AdapterVersion{}) {
		sc.popularity[qr.Adapter] = sc.popularity[qr.Adapter].Plus(now, popularityHalfLife)
	}
	sc.queue = append(sc.queue, qr)
	return sc.schedule(now)
}

// Withdraw removes a request from the queue and reports whether it was there.
func (sc *Scheduler) Withdraw(attempt string) bool {
	for ix := range sc.queue {
		if sc.queue[ix].Attempt == attempt {
			sc.queue = slices.Delete(sc.queue, ix, ix+1)
			return true
		}
	}
	return false
}

// RequestEnded records that a request is no longer at the engine, and removes its pin, which is
// kept until then.
func (sc *Scheduler) RequestEnded(attempt string, now time.Time) []Action {
	sc.accountBatchTime(now)
	handle, ok := sc.running[attempt]
	if !ok {
		return nil
	}
	delete(sc.running, attempt)
	if sc.runningAlone == attempt {
		sc.runningAlone = ""
	}
	if ix := sc.slotByHandle(handle); ix >= 0 && sc.slots[ix].Pins > 0 {
		sc.slots[ix].Pins--
		sc.slots[ix].lastUsedAt = now
	}
	return sc.schedule(now)
}

// RequestAbandoned ends a request that was given up but may still reach the engine. Its slot is not
// evicted until lateArrivalMax is over.
func (sc *Scheduler) RequestAbandoned(attempt string, now time.Time) []Action {
	if ix := sc.slotByHandle(sc.running[attempt]); ix >= 0 {
		sc.slots[ix].noEvictBefore = now.Add(lateArrivalMax)
	}
	return sc.RequestEnded(attempt, now)
}

// HandleNotFound records that the engine does not know a handle. Its slot gets no requests until
// the engine has been inspected.
func (sc *Scheduler) HandleNotFound(handle string, now time.Time) []Action {
	if ix := sc.slotByHandle(handle); ix >= 0 && sc.slots[ix].State == Ready {
		sc.slots[ix].State = Unconfirmed
	}
	return sc.requestInspection(now)
}

// Reinspect requests an inspection, for instance after an answer from another engine process.
func (sc *Scheduler) Reinspect(now time.Time) []Action { return sc.requestInspection(now) }

// LoadEnded processes the result of a load.
func (sc *Scheduler) LoadEnded(handle string, re Result, now time.Time) []Action {
	ix := sc.slotByHandle(handle)
	if ix < 0 || sc.slots[ix].State != Loading {
		return sc.schedule(now)
	}
	sl := &sc.slots[ix]
	av := sl.Adapter
	switch re {
	case Done:
		sl.State = Ready
		sl.lastUsedAt = now
		delete(sc.loadFailures, av)
		sc.recordStalls(av, now)
		return sc.schedule(now)
	case StoreBusy:
		// The slot stays in Loading until the load is ordered again, so that entry nodes count
		// the load as in flight when they route requests.
		sl.Handle = ""
		sc.nextLoadAt = now.Add(loadRetryDelay)
		return sc.schedule(now)
	case Rejected:
		*sl = Slot{}
		sc.nextLoadAt = now.Add(loadRetryDelay)
	case Lost:
		sl.State = Unconfirmed
		sc.nextLoadAt = now.Add(loadRetryDelay)
	}
	actions := append(sc.recordLoadFailure(av), sc.requestInspection(now)...)
	return append(actions, sc.schedule(now)...)
}

// UnloadEnded processes the result of an unload.
func (sc *Scheduler) UnloadEnded(handle string, re Result, now time.Time) []Action {
	delete(sc.strayHandles, handle)
	ix := sc.slotByHandle(handle)
	if ix < 0 {
		return sc.schedule(now)
	}
	if re == Done {
		sc.slots[ix] = Slot{}
		return sc.schedule(now)
	}
	sc.slots[ix].State = Unconfirmed
	return sc.schedule(now)
}

// EngineRestarted records that the engine has lost all adapters. Requests on it end by their
// own failures, and a load in flight by its own result.
func (sc *Scheduler) EngineRestarted(now time.Time) []Action {
	for ix := range sc.slots {
		if sc.slots[ix].State != Loading {
			sc.slots[ix] = Slot{}
		}
	}
	clear(sc.strayHandles)
	sc.inspected = true
	return sc.schedule(now)
}

// InspectionDone processes the handles that the engine holds and the highest fencing token that it
// has seen.
func (sc *Scheduler) InspectionDone(held []Held, fence uint64, now time.Time) []Action {
	sc.inspected = true
	sc.fence = max(sc.fence, fence)
	actions := sc.unloadStrays(held)
	for ix := range sc.slots {
		actions = append(actions, sc.resolveUnconfirmed(ix, held)...)
	}
	return append(actions, sc.schedule(now)...)
}

// unloadStrays unloads idle handles that belong to no slot, left by an earlier run of the agent
// or by an order that arrived late.
func (sc *Scheduler) unloadStrays(held []Held) []Action {
	actions := make([]Action, 0)
	strayHandles := map[string]bool{}
	for _, he := range held {
		if sc.slotByHandle(he.Handle) >= 0 {
			continue
		}
		strayHandles[he.Handle] = sc.strayHandles[he.Handle]
		if he.Running > 0 || strayHandles[he.Handle] {
			continue
		}
		strayHandles[he.Handle] = true
		actions = append(actions, Action{Unload: &Unload{Handle: he.Handle, Fence: sc.nextFence()}})
	}
	sc.strayHandles = strayHandles
	return actions
}

// resolveUnconfirmed sets the state of an unconfirmed slot by what the engine holds.
func (sc *Scheduler) resolveUnconfirmed(ix int, held []Held) []Action {
	sl := &sc.slots[ix]
	if sl.State != Unconfirmed {
		return nil
	}
	for _, he := range held {
		if he.Handle != sl.Handle {
			continue
		}
		if he.Ready && !sl.unloadOrdered {
			sl.State = Ready
			return nil
		}
		if he.Running > 0 || sl.Pins > 0 || !he.Ready {
			return nil
		}
		return []Action{sc.startUnload(ix)}
	}
	*sl = Slot{}
	return nil
}

// StopAccepting stops accepting requests and refuses the queued ones. Those at the engine finish.
func (sc *Scheduler) StopAccepting() []Action {
	sc.leaving = true
	actions := make([]Action, 0, len(sc.queue))
	for ix := range sc.queue {
		actions = append(actions, refusal(sc.queue[ix].Attempt, ReasonAgentLeaving, 0))
	}
	sc.queue = nil
	return actions
}

// Leaving reports whether new requests are refused.
func (sc *Scheduler) Leaving() bool { return sc.leaving }

// Tick refuses requests past their deadline and schedules the rest.
func (sc *Scheduler) Tick(now time.Time) []Action {
	sc.accountBatchTime(now)
	actions := sc.refuseWaiting(func(qr *QueuedRequest) bool { return !now.Before(qr.Deadline) }, ReasonDeadline)
	return append(actions, sc.schedule(now)...)
}

// recordLoadFailure counts a failed load of an adapter. After loadFailuresMax failures it
// refuses the requests that wait for that adapter.
func (sc *Scheduler) recordLoadFailure(av conf.AdapterVersion) []Action {
	sc.loadFailures[av]++
	if sc.loadFailures[av] < loadFailuresMax {
		return nil
	}
	delete(sc.loadFailures, av)
	return sc.refuseWaiting(func(qr *QueuedRequest) bool { return qr.Adapter == av }, ReasonLoadFailed)
}

// refuseWaiting removes the matching requests from the queue and refuses them.
func (sc *Scheduler) refuseWaiting(match func(qr *QueuedRequest) bool, reason string) []Action {
	actions := make([]Action, 0)
	kept := sc.queue[:0]
	for _, qr := range sc.queue {
		if !match(&qr) {
			kept = append(kept, qr)
			continue
		}
		actions = append(actions, refusal(qr.Attempt, reason, defaultRetryAfter))
	}
	sc.queue = kept
	return actions
}
