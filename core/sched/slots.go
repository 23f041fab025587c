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
	// Doubtful is a slot whose last order had no answer; it gets no work.
	Doubtful
)

var slotStateNames = [...]string{"empty", "loading", "ready", "unloading", "doubtful"}

// String returns the state's name in logs and reports.
func (ss SlotState) String() string { return slotStateNames[ss] }

// popularityHalfLife is the time in which the weight of a past request halves.
const popularityHalfLife = 30 * time.Second

// Slot is one adapter slot of the engine.
type Slot struct {
	State   SlotState
	Adapter conf.AdapterVersion
	// Handle is the name under which the engine knows the adapter.
	Handle string
	// Pins counts requests that the engine runs on the slot.
	Pins    int
	lastUse time.Time
	// unloadOrdered is true once an unload was ordered; it may take effect late.
	unloadOrdered bool
	// keepUntil is the time before which the slot is not evicted, because a request
	// that was given up may still arrive at the engine.
	keepUntil time.Time
}

// slotOf returns the slot that holds or loads an adapter, or -1.
func (sc *Scheduler) slotOf(av conf.AdapterVersion) int {
	for ix := range sc.slots {
		sl := &sc.slots[ix]
		if sl.Adapter == av && (sl.State == Ready || sl.State == Loading) {
			return ix
		}
	}
	return -1
}

// slotByHandle returns the slot with a handle, or -1.
func (sc *Scheduler) slotByHandle(handle string) int {
	for ix := range sc.slots {
		if handle != "" && sc.slots[ix].Handle == handle {
			return ix
		}
	}
	return -1
}

// emptySlot returns an empty slot, or -1; handles without a slot take up the engine's room as well.
func (sc *Scheduler) emptySlot() int {
	if sc.count(Empty) <= len(sc.strays) {
		return -1
	}
	for ix := range sc.slots {
		if sc.slots[ix].State == Empty {
			return ix
		}
	}
	return -1
}

// victim returns the ready slot without pins or waiting requests that is least popular, or -1.
func (sc *Scheduler) victim(now time.Time) int {
	best := -1
	for ix := range sc.slots {
		sl := &sc.slots[ix]
		if sl.State != Ready || sl.Pins > 0 || now.Before(sl.keepUntil) || sc.wanted(sl.Adapter) {
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
	pa := sc.popular[aa.Adapter].At(now, popularityHalfLife)
	pb := sc.popular[bb.Adapter].At(now, popularityHalfLife)
	if pa != pb {
		return pa < pb
	}
	return aa.lastUse.Before(bb.lastUse)
}

// wanted tells whether a waiting request needs an adapter.
func (sc *Scheduler) wanted(av conf.AdapterVersion) bool {
	for ix := range sc.queue {
		if sc.queue[ix].Adapter == av {
			return true
		}
	}
	return false
}

// newHandle returns a handle that no earlier order of any boot has used.
func (sc *Scheduler) newHandle(av conf.AdapterVersion) string {
	sc.counter++
	return av.String() + "#" + sc.boot + "-" + strconv.FormatUint(sc.counter, 10)
}

// nextFence returns a fencing number above all earlier ones.
func (sc *Scheduler) nextFence() uint64 {
	sc.fence++
	return sc.fence
}
