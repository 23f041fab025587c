package sched

import (
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

// plan forwards what can run, orders loads for what cannot and inspects the engine where a slot is doubtful.
func (sc *Scheduler) plan(now time.Time) []Action {
	if !sc.known {
		return sc.inspect(now)
	}
	actions := sc.forward(now)
	actions = append(actions, sc.load(now)...)
	sc.stats.count(actions)
	if len(sc.strays) > 0 || sc.count(Doubtful) > 0 {
		actions = append(actions, sc.inspect(now)...)
	}
	return actions
}

// inspect asks the engine what it holds, unless that was asked a moment ago.
func (sc *Scheduler) inspect(now time.Time) []Action {
	if now.Before(sc.inspectAt) {
		return nil
	}
	sc.inspectAt = now.Add(inspectPeriod)
	return []Action{{Inspect: &Inspect{}}}
}

// forward starts waiting requests in the order of their rank while there are batch places.
func (sc *Scheduler) forward(now time.Time) []Action {
	actions := make([]Action, 0)
	for len(sc.running) < sc.places && sc.alone == "" {
		ix := sc.next(now)
		if ix < 0 {
			break
		}
		it := sc.queue[ix]
		if it.Alone && len(sc.running) > 0 {
			break
		}
		if it.Alone {
			sc.alone = it.Attempt
		}
		sc.queue = slices.Delete(sc.queue, ix, ix+1)
		handle := ""
		if sx := sc.slotOf(it.Adapter); sx >= 0 {
			sc.slots[sx].Pins++
			sc.slots[sx].lastUse = now
			handle = sc.slots[sx].Handle
		}
		sc.running[it.Attempt] = handle
		actions = append(actions, Action{Forward: &Forward{Attempt: it.Attempt, Handle: handle}})
	}
	return actions
}

// next returns the waiting request of the highest rank that can run now, or -1.
func (sc *Scheduler) next(now time.Time) int {
	return sc.first(now, sc.runnable)
}

// first returns the waiting request of the highest rank that matches, or -1.
func (sc *Scheduler) first(now time.Time, match func(it *Item) bool) int {
	best := -1
	for ix := range sc.queue {
		if !match(&sc.queue[ix]) {
			continue
		}
		if best < 0 || sc.queue[ix].rank(now) > sc.queue[best].rank(now) {
			best = ix
		}
	}
	return best
}

// runnable tells whether a request needs no load.
func (sc *Scheduler) runnable(it *Item) bool {
	if it.Adapter == (conf.AdapterVersion{}) {
		return true
	}
	ix := sc.slotOf(it.Adapter)
	return ix >= 0 && sc.slots[ix].State == Ready
}

// rank is the urgency with ageing.
func (it *Item) rank(now time.Time) float64 {
	return float64(it.Urgency) + float64(now.Sub(it.Arrived))/float64(ageingStep)
}

// load orders loads for waiting requests, one for each adapter, in the order of their rank.
func (sc *Scheduler) load(now time.Time) []Action {
	actions := make([]Action, 0)
	if now.Before(sc.loadAt) {
		return actions
	}
	actions = sc.loadAgain(actions, now)
	for sc.loads() < loadsMax {
		ix := sc.nextLoad(now)
		if ix < 0 {
			break
		}
		av := sc.queue[ix].Adapter
		sx := sc.emptySlot()
		if sx < 0 {
			if vi := sc.victim(now); vi >= 0 && sc.unloads() < loadsMax {
				actions = append(actions, sc.startUnload(vi))
			}
			break
		}
		actions = append(actions, sc.startLoad(sx, av, now))
	}
	return actions
}

// loadAgain orders the loads that the store had no room for, or gives up those that nobody waits for.
func (sc *Scheduler) loadAgain(actions []Action, now time.Time) []Action {
	for ix := range sc.slots {
		sl := &sc.slots[ix]
		if sl.State != Loading || sl.Handle != "" {
			continue
		}
		if !sc.wanted(sl.Adapter) {
			*sl = Slot{}
			continue
		}
		actions = append(actions, sc.startLoad(ix, sl.Adapter, now))
	}
	return actions
}

// startLoad orders a load into a slot under a new handle.
func (sc *Scheduler) startLoad(ix int, av conf.AdapterVersion, now time.Time) Action {
	sc.slots[ix] = Slot{State: Loading, Adapter: av, Handle: sc.newHandle(av), lastUse: now}
	return Action{Load: &Load{Adapter: av, Handle: sc.slots[ix].Handle, Fence: sc.nextFence()}}
}

// startUnload orders the engine to drop what a slot holds.
func (sc *Scheduler) startUnload(ix int) Action {
	sc.slots[ix].State = Unloading
	sc.slots[ix].unloadOrdered = true
	return Action{Unload: &Unload{Handle: sc.slots[ix].Handle, Fence: sc.nextFence()}}
}

// nextLoad returns the waiting request of the highest rank whose adapter no slot holds or loads, or -1.
func (sc *Scheduler) nextLoad(now time.Time) int {
	return sc.first(now, func(it *Item) bool {
		return it.Adapter != (conf.AdapterVersion{}) && sc.slotOf(it.Adapter) < 0
	})
}

// loads counts the loads under way.
func (sc *Scheduler) loads() int { return sc.count(Loading) }

// unloads counts the unloads under way.
func (sc *Scheduler) unloads() int { return sc.count(Unloading) }

// count counts the slots in a state.
func (sc *Scheduler) count(ss SlotState) int {
	count := 0
	for ix := range sc.slots {
		if sc.slots[ix].State == ss {
			count++
		}
	}
	return count
}

// refuse builds a refusal.
func refuse(attempt, reason string, wait time.Duration) Action {
	return Action{Refuse: &Refuse{Attempt: attempt, Reason: reason, RetryAfter: wait}}
}
