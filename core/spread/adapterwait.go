package spread

import "slices"

// addAdapterWait adds the expected wait and the penalty for loading the adapter.
func (me *member) addAdapterWait(es *estimate, rq *Request, preferred *preference) {
	if !me.agentAvailable {
		me.estimateWithoutAgent(es, rq)
		return
	}
	if !me.load.Known || me.load.Model != rq.Model {
		es.reason = NoModel
		return
	}
	es.reason = AdapterLoaded
	if rq.Adapter == "" {
		return
	}
	idle, used := 0, 0
	for ix := range me.resident {
		sl := &me.resident[ix]
		if sl.Adapter == rq.Adapter {
			sl.addLoadWait(es, rq)
			return
		}
		if sl.Users == 0 {
			idle++
		}
		used++
	}
	me.addFetchWait(es, rq, preferred)
	es.wait += queuedRequestSeconds * float64(me.load.Waiting)
	switch {
	case used < me.load.Slots:
		es.reason = SlotFree
	case idle > 0:
		es.reason = MustEvict
		es.penalty += evictionSeconds
	default:
		es.reason = SlotsInUse
		es.wait += slotWaitSeconds
	}
}

// addFetchWait adds the wait for an adapter that is not in a slot of the engine, and the penalty for
// fetching it once more than necessary.
func (me *member) addFetchWait(es *estimate, rq *Request, preferred *preference) {
	switch {
	case me.hostCache.hasAdapter(rq.Adapter, rq.Version):
		es.wait += cachedLoadSeconds
	case preferred.includes(me, rq):
		es.wait += me.fetchTime()
	default:
		es.wait += me.fetchTime()
		es.penalty += extraFetchSeconds
	}
}

// fetchTime returns the expected time of a load from the weight store in seconds: the average
// that the agent reports, but at least adapterLoadSeconds.
func (me *member) fetchTime() float64 { return max(adapterLoadSeconds, me.load.LoadTime.Seconds()) }

// addLoadWait adds the wait for an adapter that occupies a slot of the engine.
func (sl *AdapterSlot) addLoadWait(es *estimate, rq *Request) {
	switch {
	case !sl.Ready:
		// On average, half of a load in flight is over.
		es.wait += adapterLoadSeconds / 2
		es.reason = AdapterLoading
	case sl.Version < rq.Version && (sl.Version < rq.VersionMin || sl.Users == 0):
		es.wait += adapterLoadSeconds
		es.reason = AdapterLoading
	}
}

// estimateWithoutAgent covers an engine whose agent is unavailable. Nothing can be loaded
// there, so the engine qualifies only if it is believed to hold the adapter.
func (me *member) estimateWithoutAgent(es *estimate, rq *Request) {
	es.reason = NoModel
	if me.Model != rq.Model {
		return
	}
	resident := me.resident
	if resident == nil {
		resident = me.AdapterSlots
	}
	known := rq.Adapter == "" || slices.ContainsFunc(resident, func(sl AdapterSlot) bool {
		return sl.Adapter == rq.Adapter && sl.Ready && sl.Version >= rq.VersionMin
	})
	if known {
		es.reason = AgentUnavailable
		es.penalty += unavailableAgentSeconds
	}
}
