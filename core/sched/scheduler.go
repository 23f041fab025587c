package sched

import (
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

const (
	// queueFactor bounds the queue as a multiple of the batch places.
	queueFactor = 8
	// ageingStep is the time a request waits to gain one rank of urgency.
	ageingStep = 5 * time.Second
	// loadsMax bounds the loads under way at one engine.
	loadsMax = 2
	// loadAttemptsMax bounds failed loads before the waiting requests are refused.
	loadAttemptsMax = 2
	// inspectPeriod is the time between inspections while a slot is doubtful.
	inspectPeriod = 500 * time.Millisecond

	// busyWait is the time before the next load after one that failed.
	busyWait = 250 * time.Millisecond

	// lateMax is how long a request that was given up may take to arrive at the engine.
	lateMax = 2 * time.Second

	refusalWait = 200 * time.Millisecond
)

// Settings describes the backend server.
type Settings struct {
	// Boot identifies the run of the agent.
	Boot string
	// Slots is the number of adapter slots, zero for a plain service.
	Slots int
	// Places is the number of requests run together.
	Places int
}

// Item is a request at the agent.
type Item struct {
	Attempt string
	// Adapter is the zero value for a plain service.
	Adapter conf.AdapterVersion
	// Alone keeps all other requests off the engine while this one runs.
	Alone    bool
	Urgency  int
	Arrived  time.Time
	Deadline time.Time
	// stalled is true when the adapter was not ready at the arrival.
	stalled bool
}

// Scheduler is the state of one engine's slots and queue.
type Scheduler struct {
	boot    string
	places  int
	slots   []Slot
	queue   []Item
	running map[string]string
	// alone is the attempt that runs apart from all others, or empty.
	alone    string
	popular  map[conf.AdapterVersion]popularity
	failures map[conf.AdapterVersion]int
	// strays are handles at the engine that belong to no slot; true once their unload was ordered.
	strays  map[string]bool
	counter uint64
	fence   uint64
	// known is false until the engine has told what it holds.
	known     bool
	leaving   bool
	inspectAt time.Time
	loadAt    time.Time
	stats     Stats
	countedAt time.Time
}

// New returns a scheduler that knows nothing of its engine yet.
func New(se Settings) *Scheduler {
	return &Scheduler{
		boot: se.Boot, places: se.Places, slots: make([]Slot, se.Slots),
		running: map[string]string{}, popular: map[conf.AdapterVersion]popularity{},
		failures: map[conf.AdapterVersion]int{}, strays: map[string]bool{},
		known: se.Slots == 0,
	}
}

// Slots returns a copy of the slots.
func (sc *Scheduler) Slots() []Slot { return slices.Clone(sc.slots) }

// Running returns the number of requests at the backend server.
func (sc *Scheduler) Running() int { return len(sc.running) }

// Waiting returns the number of queued requests.
func (sc *Scheduler) Waiting() int { return len(sc.queue) }

// WaitingFor returns the number of queued requests for an adapter.
func (sc *Scheduler) WaitingFor(av conf.AdapterVersion) int {
	count := 0
	for ix := range sc.queue {
		if sc.queue[ix].Adapter == av {
			count++
		}
	}
	return count
}

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
		po := sc.popular[it.Adapter]
		sc.popular[it.Adapter] = popularity{count: po.decayed(now) + 1, at: now}
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

// Suspect asks for an inspection, as after an answer of another engine boot.
func (sc *Scheduler) Suspect(now time.Time) []Action { return sc.inspect(now) }

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
		sl.State = Unloading
		sl.unloadOrdered = true
		return []Action{{Unload: &Unload{Handle: sl.Handle, Fence: sc.nextFence()}}}
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

// Stay takes new work again.
func (sc *Scheduler) Stay() { sc.leaving = false }

// Leaving tells whether new work is refused.
func (sc *Scheduler) Leaving() bool { return sc.leaving }

// Tick refuses requests whose time has run out and plans anew.
func (sc *Scheduler) Tick(now time.Time) []Action {
	sc.account(now)
	actions := make([]Action, 0)
	kept := sc.queue[:0]
	for _, it := range sc.queue {
		if now.Before(it.Deadline) {
			kept = append(kept, it)
			continue
		}
		actions = append(actions, refuse(it.Attempt, ReasonDeadline, refusalWait))
	}
	sc.queue = kept
	return append(actions, sc.plan(now)...)
}

// loadFailed refuses the requests that wait for an adapter whose loads fail again and again.
func (sc *Scheduler) loadFailed(av conf.AdapterVersion) []Action {
	sc.failures[av]++
	if sc.failures[av] < loadAttemptsMax {
		return nil
	}
	delete(sc.failures, av)
	actions := make([]Action, 0)
	kept := sc.queue[:0]
	for _, it := range sc.queue {
		if it.Adapter != av {
			kept = append(kept, it)
			continue
		}
		actions = append(actions, refuse(it.Attempt, ReasonLoadFailed, refusalWait))
	}
	sc.queue = kept
	return actions
}

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
	best := -1
	for ix := range sc.queue {
		if !sc.runnable(&sc.queue[ix]) {
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
				sc.slots[vi].State = Unloading
				sc.slots[vi].unloadOrdered = true
				actions = append(actions, Action{Unload: &Unload{Handle: sc.slots[vi].Handle, Fence: sc.nextFence()}})
			}
			break
		}
		sc.slots[sx] = Slot{State: Loading, Adapter: av, Handle: sc.newHandle(av), lastUse: now}
		actions = append(actions, Action{Load: &Load{Adapter: av, Handle: sc.slots[sx].Handle, Fence: sc.nextFence()}})
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
		*sl = Slot{State: Loading, Adapter: sl.Adapter, Handle: sc.newHandle(sl.Adapter), lastUse: now}
		actions = append(actions, Action{Load: &Load{Adapter: sl.Adapter, Handle: sl.Handle, Fence: sc.nextFence()}})
	}
	return actions
}

// nextLoad returns the waiting request of the highest rank whose adapter no slot holds or loads, or -1.
func (sc *Scheduler) nextLoad(now time.Time) int {
	best := -1
	for ix := range sc.queue {
		it := &sc.queue[ix]
		if it.Adapter == (conf.AdapterVersion{}) || sc.slotOf(it.Adapter) >= 0 {
			continue
		}
		if best < 0 || it.rank(now) > sc.queue[best].rank(now) {
			best = ix
		}
	}
	return best
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
