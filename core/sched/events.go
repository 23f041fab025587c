package sched

import (
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

// Submit takes a request.
func (sc *Scheduler) Submit(it Item, now time.Time) []Action {
	sc.account(now)
	switch {
	case sc.leaving:
		return []Action{refuse(it.Attempt, ReasonLeaving, 0)}
	case !now.Before(it.Deadline):
		return []Action{refuse(it.Attempt, ReasonDeadline, refusalWait)}
	case len(sc.queue) >= queueFactor*sc.places:
		return []Action{refuse(it.Attempt, ReasonQueueFull, refusalWait)}
	}
	it.Arrived = now
	it.stalled = it.Adapter != (conf.AdapterVersion{}) && !sc.runnable(&it)
	if it.Adapter != (conf.AdapterVersion{}) {
		sc.popular[it.Adapter] = sc.popular[it.Adapter].Plus(now, popularityHalfLife)
	}
	sc.queue = append(sc.queue, it)
	return sc.plan(now)
}

// Withdraw takes a request out of the queue and tells whether it was there.
func (sc *Scheduler) Withdraw(attempt string) bool {
	for ix := range sc.queue {
		if sc.queue[ix].Attempt == attempt {
			sc.queue = slices.Delete(sc.queue, ix, ix+1)
			return true
		}
	}
	return false
}

// Ended takes a request off the engine; the pin goes only now.
func (sc *Scheduler) Ended(attempt string, now time.Time) []Action {
	sc.account(now)
	handle, ok := sc.running[attempt]
	if !ok {
		return nil
	}
	delete(sc.running, attempt)
	if sc.alone == attempt {
		sc.alone = ""
	}
	if ix := sc.slotByHandle(handle); ix >= 0 && sc.slots[ix].Pins > 0 {
		sc.slots[ix].Pins--
		sc.slots[ix].lastUse = now
	}
	return sc.plan(now)
}

// Abandoned takes a request off the engine that may still arrive there late.
func (sc *Scheduler) Abandoned(attempt string, now time.Time) []Action {
	if ix := sc.slotByHandle(sc.running[attempt]); ix >= 0 {
		sc.slots[ix].keepUntil = now.Add(lateMax)
	}
	return sc.Ended(attempt, now)
}

// Missing records that the engine does not know a handle; its slot is doubtful until the engine was inspected.
func (sc *Scheduler) Missing(handle string, now time.Time) []Action {
	if ix := sc.slotByHandle(handle); ix >= 0 && sc.slots[ix].State == Ready {
		sc.slots[ix].State = Doubtful
	}
	return sc.inspect(now)
}

// Reinspect asks for an inspection, as after an answer of another engine boot.
func (sc *Scheduler) Reinspect(now time.Time) []Action { return sc.inspect(now) }

// Loaded takes the result of a load.
func (sc *Scheduler) Loaded(handle string, re Result, now time.Time) []Action {
	ix := sc.slotByHandle(handle)
	if ix < 0 || sc.slots[ix].State != Loading {
		return sc.plan(now)
	}
	sl := &sc.slots[ix]
	av := sl.Adapter
	switch re {
	case Done:
		sl.State = Ready
		sl.lastUse = now
		delete(sc.failures, av)
		sc.stalled(av, now)
		return sc.plan(now)
	case Busy:
		// The slot waits for the store's next turn, so that routing sees the load as under way.
		sl.Handle = ""
		sc.loadAt = now.Add(busyWait)
		return sc.plan(now)
	case Rejected:
		*sl = Slot{}
		sc.loadAt = now.Add(busyWait)
	case Lost:
		sl.State = Doubtful
		sc.loadAt = now.Add(busyWait)
	}
	actions := append(sc.loadFailed(av), sc.inspect(now)...)
	return append(actions, sc.plan(now)...)
}

// Unloaded takes the result of an unload.
func (sc *Scheduler) Unloaded(handle string, re Result, now time.Time) []Action {
	delete(sc.strays, handle)
	ix := sc.slotByHandle(handle)
	if ix < 0 {
		return sc.plan(now)
	}
	if re == Done {
		sc.slots[ix] = Slot{}
		return sc.plan(now)
	}
	sc.slots[ix].State = Doubtful
	return sc.plan(now)
}

// EngineRestarted records that the engine lost all it held; requests on it are
// ended by their own failures. A load under way is judged by its own result.
func (sc *Scheduler) EngineRestarted(now time.Time) []Action {
	for ix := range sc.slots {
		if sc.slots[ix].State != Loading {
			sc.slots[ix] = Slot{}
		}
	}
	clear(sc.strays)
	sc.known = true
	return sc.plan(now)
}

// Inspected takes what the engine holds and its highest fencing number.
func (sc *Scheduler) Inspected(held []Held, fence uint64, now time.Time) []Action {
	sc.known = true
	sc.fence = max(sc.fence, fence)
	actions := sc.dropStrays(held)
	for ix := range sc.slots {
		actions = append(actions, sc.settle(ix, held)...)
	}
	return append(actions, sc.plan(now)...)
}

// dropStrays unloads idle handles that belong to no slot, left by an earlier boot or a late order.
func (sc *Scheduler) dropStrays(held []Held) []Action {
	actions := make([]Action, 0)
	strays := map[string]bool{}
	for _, he := range held {
		if sc.slotByHandle(he.Handle) >= 0 {
			continue
		}
		strays[he.Handle] = sc.strays[he.Handle]
		if he.Running > 0 || strays[he.Handle] {
			continue
		}
		strays[he.Handle] = true
		actions = append(actions, Action{Unload: &Unload{Handle: he.Handle, Fence: sc.nextFence()}})
	}
	sc.strays = strays
	return actions
}

// settle resolves a doubtful slot by what the engine holds.
func (sc *Scheduler) settle(ix int, held []Held) []Action {
	sl := &sc.slots[ix]
	if sl.State != Doubtful {
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

// Leave stops new work: queued requests are refused, those on the engine finish.
func (sc *Scheduler) Leave() []Action {
	sc.leaving = true
	actions := make([]Action, 0, len(sc.queue))
	for ix := range sc.queue {
		actions = append(actions, refuse(sc.queue[ix].Attempt, ReasonLeaving, 0))
	}
	sc.queue = nil
	return actions
}

// Leaving tells whether new work is refused.
func (sc *Scheduler) Leaving() bool { return sc.leaving }

// Tick refuses requests whose time has run out and plans anew.
func (sc *Scheduler) Tick(now time.Time) []Action {
	sc.account(now)
	actions := sc.refuseWaiting(func(it *Item) bool { return !now.Before(it.Deadline) }, ReasonDeadline)
	return append(actions, sc.plan(now)...)
}

// loadFailed refuses the requests that wait for an adapter whose loads fail again and again.
func (sc *Scheduler) loadFailed(av conf.AdapterVersion) []Action {
	sc.failures[av]++
	if sc.failures[av] < loadAttemptsMax {
		return nil
	}
	delete(sc.failures, av)
	return sc.refuseWaiting(func(it *Item) bool { return it.Adapter == av }, ReasonLoadFailed)
}

// refuseWaiting takes the requests that match out of the queue and refuses them.
func (sc *Scheduler) refuseWaiting(match func(it *Item) bool, reason string) []Action {
	actions := make([]Action, 0)
	kept := sc.queue[:0]
	for _, it := range sc.queue {
		if !match(&it) {
			kept = append(kept, it)
			continue
		}
		actions = append(actions, refuse(it.Attempt, reason, refusalWait))
	}
	sc.queue = kept
	return actions
}
