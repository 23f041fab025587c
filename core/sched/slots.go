package sched

import (
	"strconv"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

// SlotState is the state of one adapter slot.
type SlotState int

// States of a slot.
const (
	Empty SlotState = iota
	Loading
	Ready
	Unloading
	// Unconfirmed is a slot whose handle may or may not be at the engine, because an order got no
	// answer or failed, or the engine did not know the handle. It gets no requests until an
	// inspection settles its state. Reports call the state doubtful.
	Unconfirmed
)

var slotStateNames = [...]string{"empty", "loading", "ready", "unloading", "doubtful"}

// String returns the state's name for logs and reports.
func (ss SlotState) String() string { return slotStateNames[ss] }

// popularityHalfLife is the half-life of a past request's weight in its adapter's popularity.
const popularityHalfLife = 30 * time.Second

// Slot is one adapter slot of the engine.
type Slot struct {
	State   SlotState
	Adapter conf.AdapterVersion
	// Handle is the name under which the engine knows the adapter. It is empty while the load
	// waits for capacity at the weight store; the slot is then Loading and still counts as a load
	// in flight.
	Handle string
	// Pins is the number of requests that run on the slot.
	Pins       int
	lastUsedAt time.Time
	// unloadOrdered is true once an unload was ordered; the engine may carry it out late.
	unloadOrdered bool
	// noEvictBefore is the time before which the slot is not evicted, because a request that
	// was given up may still arrive at the engine.
	noEvictBefore time.Time
}

// slotByAdapter returns the index of the slot that holds or loads an adapter, or -1.
func (sc *Scheduler) slotByAdapter(av conf.AdapterVersion) int {
	for ix := range sc.slots {
		sl := &sc.slots[ix]
		if sl.Adapter == av && (sl.State == Ready || sl.State == Loading) {
			return ix
		}
	}
	return -1
}

// slotByHandle returns the index of the slot with a handle, or -1.
func (sc *Scheduler) slotByHandle(handle string) int {
	for ix := range sc.slots {
		if handle != "" && sc.slots[ix].Handle == handle {
			return ix
		}
	}
	return -1
}

// emptySlot returns the index of an empty slot, or -1. Handles that belong to no slot take up
// room at the engine as well, so each of them makes one empty slot unusable.
func (sc *Scheduler) emptySlot() int {
	if sc.slotsIn(Empty) <= len(sc.strayHandles) {
		return -1
	}
	for ix := range sc.slots {
		if sc.slots[ix].State == Empty {
			return ix
		}
	}
	return -1
}

// victim returns the index of the least popular ready slot that no request uses or waits for,
// or -1.
func (sc *Scheduler) victim(now time.Time) int {
	best := -1
	for ix := range sc.slots {
		sl := &sc.slots[ix]
		if sl.State != Ready || sl.Pins > 0 || now.Before(sl.noEvictBefore) || sc.hasWaiting(sl.Adapter) {
			continue
		}
		if best < 0 || sc.lessPopular(sl, &sc.slots[best], now) {
			best = ix
		}
	}
	return best
}

// lessPopular orders slots by the decayed popularity of their adapters, then by last use.
func (sc *Scheduler) lessPopular(aa, bb *Slot, now time.Time) bool {
	popularityA := sc.popularity[aa.Adapter].At(now, popularityHalfLife)
	popularityB := sc.popularity[bb.Adapter].At(now, popularityHalfLife)
	if popularityA != popularityB {
		return popularityA < popularityB
	}
	return aa.lastUsedAt.Before(bb.lastUsedAt)
}

// hasWaiting reports whether a queued request needs an adapter.
func (sc *Scheduler) hasWaiting(av conf.AdapterVersion) bool {
	for ix := range sc.queue {
		if sc.queue[ix].Adapter == av {
			return true
		}
	}
	return false
}

// newHandle returns a handle that no earlier order of any run of the agent has used.
func (sc *Scheduler) newHandle(av conf.AdapterVersion) string {
	sc.handleCount++
	return av.String() + "#" + sc.boot + "-" + strconv.FormatUint(sc.handleCount, 10)
}

// nextFence returns a fencing token above all earlier ones.
func (sc *Scheduler) nextFence() uint64 {
	sc.fence++
	return sc.fence
}
