package sched

import (
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

// schedule forwards the requests that can run, orders loads for the others and inspects the
// engine if a slot is unconfirmed or a handle belongs to no slot.
func (sc *Scheduler) schedule(now time.Time) []Action {
	if !sc.inspected {
		return sc.requestInspection(now)
	}
	actions := sc.forwardRunnable(now)
	actions = append(actions, sc.orderLoads(now)...)
	sc.stats.count(actions)
	if len(sc.strayHandles) > 0 || sc.slotsIn(Unconfirmed) > 0 {
		actions = append(actions, sc.requestInspection(now)...)
	}
	return actions
}

// requestInspection asks the engine for its handles, unless it was asked less than
// inspectInterval ago.
func (sc *Scheduler) requestInspection(now time.Time) []Action {
	if now.Before(sc.nextInspectAt) {
		return nil
	}
	sc.nextInspectAt = now.Add(inspectInterval)
	return []Action{{Inspect: &Inspect{}}}
}

// forwardRunnable forwards queued requests that can run, the highest priority first, while the
// batch has a free place.
func (sc *Scheduler) forwardRunnable(now time.Time) []Action {
	actions := make([]Action, 0)
	for len(sc.running) < sc.places && sc.runningAlone == "" {
		ix := sc.nextRunnable(now)
		if ix < 0 {
			break
		}
		qr := sc.queue[ix]
		if qr.Alone && len(sc.running) > 0 {
			break
		}
		if qr.Alone {
			sc.runningAlone = qr.Attempt
		}
		sc.queue = slices.Delete(sc.queue, ix, ix+1)
		handle := ""
		if sx := sc.slotByAdapter(qr.Adapter); sx >= 0 {
			sc.slots[sx].Pins++
			sc.slots[sx].lastUsedAt = now
			handle = sc.slots[sx].Handle
		}
		sc.running[qr.Attempt] = handle
		actions = append(actions, Action{Forward: &Forward{Attempt: qr.Attempt, Handle: handle}})
	}
	return actions
}

// nextRunnable returns the index of the queued request with the highest priority that can run
// now, or -1.
func (sc *Scheduler) nextRunnable(now time.Time) int {
	return sc.bestWaiting(now, sc.runnable)
}

// bestWaiting returns the index of the matching queued request with the highest priority, or
// -1.
func (sc *Scheduler) bestWaiting(now time.Time, match func(qr *QueuedRequest) bool) int {
	best := -1
	for ix := range sc.queue {
		if !match(&sc.queue[ix]) {
			continue
		}
		if best < 0 || sc.queue[ix].priority(now) > sc.queue[best].priority(now) {
			best = ix
		}
	}
	return best
}

// runnable reports whether a request's adapter is ready or the request needs none.
func (sc *Scheduler) runnable(qr *QueuedRequest) bool {
	if qr.Adapter == (conf.AdapterVersion{}) {
		return true
	}
	ix := sc.slotByAdapter(qr.Adapter)
	return ix >= 0 && sc.slots[ix].State == Ready
}

// priority returns the request's urgency plus a share that grows with its waiting time.
func (qr *QueuedRequest) priority(now time.Time) float64 {
	return float64(qr.Urgency) + float64(now.Sub(qr.Arrived))/float64(agingStep)
}

// orderLoads orders one load for each adapter that queued requests need, the highest priority
// first. If no slot is empty, it orders at most one unload instead.
func (sc *Scheduler) orderLoads(now time.Time) []Action {
	actions := make([]Action, 0)
	if now.Before(sc.nextLoadAt) {
		return actions
	}
	actions = sc.retryLoads(actions, now)
	for sc.loadsInFlight() < ordersInFlightMax {
		ix := sc.nextToLoad(now)
		if ix < 0 {
			break
		}
		av := sc.queue[ix].Adapter
		sx := sc.emptySlot()
		if sx < 0 {
			if vi := sc.victim(now); vi >= 0 && sc.unloadsInFlight() < ordersInFlightMax {
				actions = append(actions, sc.startUnload(vi))
			}
			break
		}
		actions = append(actions, sc.startLoad(sx, av, now))
	}
	return actions
}

// retryLoads orders the loads again for which the weight store had no capacity, and empties the
// slots of those that no request waits for any more.
func (sc *Scheduler) retryLoads(actions []Action, now time.Time) []Action {
	for ix := range sc.slots {
		sl := &sc.slots[ix]
		if sl.State != Loading || sl.Handle != "" {
			continue
		}
		if !sc.hasWaiting(sl.Adapter) {
			*sl = Slot{}
			continue
		}
		actions = append(actions, sc.startLoad(ix, sl.Adapter, now))
	}
	return actions
}

// startLoad orders a load into a slot under a new handle.
func (sc *Scheduler) startLoad(ix int, av conf.AdapterVersion, now time.Time) Action {
	sc.slots[ix] = Slot{State: Loading, Adapter: av, Handle: sc.newHandle(av), lastUsedAt: now}
	return Action{Load: &Load{Adapter: av, Handle: sc.slots[ix].Handle, Fence: sc.nextFence()}}
}

// startUnload orders the engine to unload the handle of a slot.
func (sc *Scheduler) startUnload(ix int) Action {
	sc.slots[ix].State = Unloading
	sc.slots[ix].unloadOrdered = true
	return Action{Unload: &Unload{Handle: sc.slots[ix].Handle, Fence: sc.nextFence()}}
}

// nextToLoad returns the index of the queued request with the highest priority whose adapter no
// slot holds or loads, or -1.
func (sc *Scheduler) nextToLoad(now time.Time) int {
	return sc.bestWaiting(now, func(qr *QueuedRequest) bool {
		return qr.Adapter != (conf.AdapterVersion{}) && sc.slotByAdapter(qr.Adapter) < 0
	})
}

// loadsInFlight returns the number of slots that are loading.
func (sc *Scheduler) loadsInFlight() int { return sc.slotsIn(Loading) }

// unloadsInFlight returns the number of slots that are unloading.
func (sc *Scheduler) unloadsInFlight() int { return sc.slotsIn(Unloading) }

// slotsIn returns the number of slots in a state.
func (sc *Scheduler) slotsIn(ss SlotState) int {
	count := 0
	for ix := range sc.slots {
		if sc.slots[ix].State == ss {
			count++
		}
	}
	return count
}

// refusal returns the action that refuses a request.
func refusal(attempt, reason string, retryAfter time.Duration) Action {
	return Action{Refuse: &Refuse{Attempt: attempt, Reason: reason, RetryAfter: retryAfter}}
}
