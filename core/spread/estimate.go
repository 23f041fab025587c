package spread

import (
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

const (
	// runningSeconds is what each running request adds to the wait for a first event.
	runningSeconds = 0.004
	// adapterLoadSeconds is the time of an adapter load with the weight store at full speed. It is
	// the least time assumed for a fetch, and the fixed estimate for loads in flight and for loads
	// of a newer version of a resident adapter.
	adapterLoadSeconds = 0.25
	// cachedLoadSeconds is the time of a load from the cache of the engine's host.
	cachedLoadSeconds = 0.03
	// evictionSeconds is the penalty for an eviction: another request may need the evicted adapter.
	evictionSeconds = 0.05
	// slotWaitSeconds is the expected wait for a slot where every loaded adapter is in use.
	slotWaitSeconds = 0.8
	// extraFetchSeconds is the penalty for one more engine fetching an adapter from the weight store.
	extraFetchSeconds = 1.0
	// crossRegionSeconds is the penalty for crossing regions, for latency and traffic.
	crossRegionSeconds = 0.12
	// crossZoneSeconds is the penalty for crossing zones within a region.
	crossZoneSeconds = 0.06
	// memoryWaitSeconds is the expected wait where the engine's memory has no room for the prompt.
	memoryWaitSeconds = 0.8
	// excessRequestSeconds is the wait for each request beyond the concurrency of a plain service.
	excessRequestSeconds = 0.06
	// inFlightSeconds is added for each request in flight, to balance plain services that have room.
	inFlightSeconds = 0.02
	// failureSeconds is the penalty for a server whose requests all fail.
	failureSeconds = 0.6
	// streamPauseSeconds is the penalty for each running stream that a prompt above the engine's
	// burst limit would pause for longer than its caller tolerates. streamPausesMaxSeconds limits
	// the sum for one engine, so that it stays below extraFetchSeconds.
	streamPauseSeconds     = 0.1
	streamPausesMaxSeconds = 0.5
	// sameServerRetrySeconds is the penalty for a server that has failed the same request.
	sameServerRetrySeconds = 1.0
	// queuedRequestSeconds is what each request in the agent's queue adds to the wait for a load.
	queuedRequestSeconds = 0.1
	// unavailableAgentSeconds is the penalty for an engine whose agent is unavailable: silent,
	// unreachable or shutting down.
	unavailableAgentSeconds = 0.15

	// onTimeWaitSeconds is the longest wait after which the first byte is still on time.
	onTimeWaitSeconds = 0.5
	// waitWeight is the weight of the whole wait; lateWeight is added to it for the part beyond
	// onTimeWaitSeconds.
	waitWeight = 0.4
	lateWeight = 1.2
)

// estimate is the expected wait and the penalty of a candidate.
type estimate struct {
	// queueWait is the part of wait that doesn't come from loading the adapter, in seconds;
	// measured latency is compared with it.
	queueWait float64
	// wait is the expected time to the first byte in seconds.
	wait float64
	// penalty is the cost beyond the wait, in seconds.
	penalty float64
	reason  Reason
}

// cost returns the value by which candidates are compared. Up to onTimeWaitSeconds a wait
// counts for less than the same penalty, beyond it for more.
func (es estimate) cost() float64 {
	return es.wait*waitWeight + max(0, es.wait-onTimeWaitSeconds)*lateWeight + es.penalty
}

// waitAtCost returns the wait, in seconds, at which the estimate would have the given cost.
func (es estimate) waitAtCost(cost float64) float64 {
	weighted := cost - es.penalty
	if weighted <= onTimeWaitSeconds*waitWeight {
		return weighted / waitWeight
	}
	return (weighted + onTimeWaitSeconds*lateWeight) / (waitWeight + lateWeight)
}

// estimate returns the expected wait and the penalty of sending the request to the server.
func (me *member) estimate(rq *Request, preferred *preference, now time.Time) estimate {
	es := estimate{penalty: me.failureShare * failureSeconds, reason: PlainService}
	switch {
	case rq.Region != me.Region:
		es.penalty += crossRegionSeconds
	case rq.Zone != me.Zone:
		es.penalty += crossZoneSeconds
	}
	if !me.Engine {
		es.queueWait = me.plainServiceWait()
		es.wait = es.queueWait
		return es
	}
	me.addAdapterWait(&es, rq, preferred)
	es.queueWait = me.promptWait(rq, now)
	es.wait += es.queueWait
	if me.load.BurstMax > 0 && rq.PromptTokens > me.load.BurstMax {
		es.penalty += min(streamPausesMaxSeconds, streamPauseSeconds*float64(me.load.Running))
	}
	return es
}

// plainServiceWait returns the expected wait at a plain service in seconds.
func (me *member) plainServiceWait() float64 {
	return inFlightSeconds*float64(me.inFlight)*me.latencyRatio + excessRequestSeconds*float64(max(0, me.inFlight+1-me.Places))
}

// promptWait returns the seconds until the engine is expected to have prefilled the request's
// prompt: the time to prefill the backlog and this prompt, a share for each running request and
// the wait for engine memory, scaled by the latency ratio.
func (me *member) promptWait(rq *Request, now time.Time) float64 {
	prefill := me.expectedBacklog(now) + grant.PrefillTime(rq.PromptTokens)
	seconds := prefill.Seconds() + runningSeconds*float64(max(me.load.Running, me.inFlight))
	if me.agentAvailable && me.load.MemoryFree < rq.PromptTokens {
		seconds += memoryWaitSeconds
	}
	return seconds * me.latencyRatio
}

// expectedBacklog returns the engine's backlog as last reported, less the time since, with the
// prompts that this node has sent since.
func (me *member) expectedBacklog(now time.Time) time.Duration {
	return max(0, me.load.Backlog-now.Sub(me.load.ReportedAt)) + me.addedPrefillTime
}

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
	switch {
	case me.hostCache.hasAdapter(rq.Adapter, rq.Version):
		es.wait += cachedLoadSeconds
	case preferred.includes(me, rq):
		es.wait += me.fetchTime()
	default:
		es.wait += me.fetchTime()
		es.penalty += extraFetchSeconds
	}
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
	case sl.Version < rq.Version && (rq.VersionRequired || sl.Users == 0):
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
		return sl.Adapter == rq.Adapter && sl.Ready && (sl.Version >= rq.Version || !rq.VersionRequired)
	})
	if known {
		es.reason = AgentUnavailable
		es.penalty += unavailableAgentSeconds
	}
}
