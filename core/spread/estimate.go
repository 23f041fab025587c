package spread

import "time"

// estimate is the expected wait and the penalty of a candidate.
type estimate struct {
	// queueWait is the part of wait that doesn't come from loading the adapter, in seconds;
	// measured latency is compared with it.
	queueWait float64
	// wait is the expected time to the first byte in seconds.
	wait float64
	// penalty is the cost beyond the wait, in seconds.
	penalty float64
	// onTime is the longest wait after which the first byte is still on time, in seconds.
	onTime float64
	reason Reason
}

// cost returns the value by which candidates are compared. Up to onTime a wait counts for less than
// the same penalty, beyond it for more.
func (es estimate) cost() float64 {
	return es.wait*waitWeight + max(0, es.wait-es.onTime)*lateWeight + es.penalty
}

// waitAtCost returns the wait, in seconds, at which the estimate would have the given cost.
func (es estimate) waitAtCost(cost float64) float64 {
	weighted := cost - es.penalty
	if weighted <= es.onTime*waitWeight {
		return weighted / waitWeight
	}
	return (weighted + es.onTime*lateWeight) / (waitWeight + lateWeight)
}

// estimate returns the expected wait and the penalty of sending the request to the server.
func (me *member) estimate(rq *Request, preferred *preference, now time.Time) estimate {
	es := estimate{penalty: me.failureShare * failureSeconds, onTime: me.goals(rq).onTimeSeconds(), reason: PlainService}
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
	es.penalty += me.latePenalty(rq)
	return es
}

// goals returns those of the request at the server. Plain services have none.
func (me *member) goals(rq *Request) Goals {
	if !me.Engine {
		return Goals{}
	}
	return rq.Goals
}

// plainServiceWait returns the expected wait at a plain service in seconds.
func (me *member) plainServiceWait() float64 {
	return inFlightSeconds*float64(me.inFlight)*me.latencyRatio + excessRequestSeconds*float64(max(0, me.inFlight+1-me.Places))
}

// promptWait returns the seconds until the engine is expected to have prefilled the request's
// prompt: the time to prefill the backlog and this prompt, a share for each running request and
// the wait for engine memory, all at the engine's own speed and scaled by the latency ratio. A load of engines
// with different speeds calls for that: at the usual speed, a slow engine appears idle as soon as a fast one.
func (me *member) promptWait(rq *Request, now time.Time) float64 {
	prefill := me.expectedBacklog(now) + me.load.prefillTime(rq.PromptTokens)
	decoding := runningSeconds * float64(max(me.load.Running, me.inFlight))
	if me.agentAvailable && me.load.MemoryFree < rq.PromptTokens {
		decoding += memoryWaitSeconds
	}
	seconds := prefill.Seconds() + decoding*me.load.decodeSlowness()
	return seconds * me.latencyRatio
}

// expectedBacklog returns the engine's backlog as last reported, less the time since, with the
// prompts that this node has sent since.
func (me *member) expectedBacklog(now time.Time) time.Duration {
	return max(0, me.load.Backlog-now.Sub(me.load.ReportedAt)) + me.addedPrefillTime
}
