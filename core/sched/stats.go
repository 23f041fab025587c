package sched

import (
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

// Stats counts what the users measure.
type Stats struct {
	// LoadStall is the time that requests spent waiting for an adapter to load.
	LoadStall time.Duration
	// Filled is the time of batch places in use, Offered that of all places while
	// any request was waiting or running.
	Filled  time.Duration
	Offered time.Duration

	Loads     int
	Evictions int
	Forwarded int
}

// Stats returns what was counted so far.
func (sc *Scheduler) Stats() Stats { return sc.stats }

// account adds the time since the last event to the use of the batch.
func (sc *Scheduler) account(now time.Time) {
	if !sc.countedAt.IsZero() && len(sc.running)+len(sc.queue) > 0 {
		passed := now.Sub(sc.countedAt)
		sc.stats.Filled += passed * time.Duration(len(sc.running))
		sc.stats.Offered += passed * time.Duration(sc.places)
	}
	sc.countedAt = now
}

// stalled adds the waits of the requests whose adapter has been loaded.
func (sc *Scheduler) stalled(av conf.AdapterVersion, now time.Time) {
	for ix := range sc.queue {
		it := &sc.queue[ix]
		if it.Adapter == av && it.stalled {
			sc.stats.LoadStall += now.Sub(it.Arrived)
			it.stalled = false
		}
	}
}

// count adds the planned actions to the counters.
func (st *Stats) count(actions []Action) {
	for _, ac := range actions {
		switch {
		case ac.Forward != nil:
			st.Forwarded++
		case ac.Load != nil:
			st.Loads++
		case ac.Unload != nil:
			st.Evictions++
		}
	}
}
