package sched

import (
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

// Stats holds counters since the agent's start.
type Stats struct {
	// LoadStall is the total time that requests waited for their adapter to load.
	LoadStall time.Duration
	// BatchFilled adds up the time that each batch place was in use.
	BatchFilled time.Duration
	// BatchOffered adds up the time of all batch places while any request was queued or running.
	BatchOffered time.Duration

	// Loads counts ordered loads, including repeated ones; Evictions counts unloads ordered to
	// make room.
	Loads     int
	Evictions int
	Forwarded int
}

// Stats returns the counters so far.
func (sc *Scheduler) Stats() Stats { return sc.stats }

// accountBatchTime adds the time since the last event to the use of the batch.
func (sc *Scheduler) accountBatchTime(now time.Time) {
	if !sc.accountedAt.IsZero() && len(sc.running)+len(sc.queue) > 0 {
		elapsed := now.Sub(sc.accountedAt)
		sc.stats.BatchFilled += elapsed * time.Duration(len(sc.running))
		sc.stats.BatchOffered += elapsed * time.Duration(sc.places)
	}
	sc.accountedAt = now
}

// recordStalls adds the waiting times of the queued requests for an adapter that has been loaded.
func (sc *Scheduler) recordStalls(av conf.AdapterVersion, now time.Time) {
	for ix := range sc.queue {
		qr := &sc.queue[ix]
		if qr.Adapter == av && qr.countsAsStall {
			sc.stats.LoadStall += now.Sub(qr.Arrived)
			qr.countsAsStall = false
		}
	}
}

// count adds the scheduled actions to the counters.
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
