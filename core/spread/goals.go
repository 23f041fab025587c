package spread

import "time"

// Goals are what the callers of a route expect of its streams. The zero value is for routes without such goals.
type Goals struct {
	// FirstEvent is the time within which the first event should come, zero for no goal.
	FirstEvent time.Duration
	// PauseMax is the longest pause between two events that callers accept, zero for no bound.
	PauseMax time.Duration
}

const (
	// firstByteWaitMax is the longest expected wait that is admitted on a route without a goal for the first event.
	firstByteWaitMax = 3500 * time.Millisecond
	// callerWaitMin is the shortest time after which callers leave a stream that delivers nothing. They stay for
	// callerWaitGoals times the goal for the first event and callerWaitPauses times the longest pause they accept, if
	// that is longer. A wait that is admitted ends callerWaitMargin earlier.
	callerWaitMin    = 2 * time.Second
	callerWaitGoals  = 4
	callerWaitPauses = 8
	callerWaitMargin = 500 * time.Millisecond
	// onTimeWait is the longest wait after which the first byte is still on time on a route without a goal.
	onTimeWait = 500 * time.Millisecond
)

// WaitBudget returns how long a request may wait for its first byte, given the time remaining until its deadline.
// It follows from how long callers wait. It answers a load of routes with different goals: with one budget for all,
// requests are refused although their callers would have waited, or wait for an answer that nobody reads.
func (gl Goals) WaitBudget(remaining time.Duration) time.Duration {
	return min(gl.waitMax(), remaining)
}

// waitMax returns the longest expected wait that is admitted.
func (gl Goals) waitMax() time.Duration {
	if gl.FirstEvent <= 0 {
		return firstByteWaitMax
	}
	return gl.CallerWait() - callerWaitMargin
}

// CallerWait returns for how long callers wait for a stream that brings nothing.
func (gl Goals) CallerWait() time.Duration {
	return max(callerWaitMin, callerWaitGoals*gl.FirstEvent, callerWaitPauses*gl.PauseMax)
}

// onTimeSeconds returns the longest wait after which the first byte is still on time, in seconds: half of the goal.
// The other half is left for what isn't known of the server, and for the way of the answer.
func (gl Goals) onTimeSeconds() float64 {
	if gl.FirstEvent <= 0 {
		return onTimeWait.Seconds()
	}
	return gl.FirstEvent.Seconds() / 2
}

// latePenalty returns the penalty for the streams that would pause for too long if the engine got the request. A
// prompt stalls the running streams while it is prefilled. The request's own stream counts too: further prompts of
// the same kind will stall it, and so does an engine on which a single event takes too long. It answers a load of
// unequal engines, where one long prompt on a slow engine makes all streams late that run there.
func (me *member) latePenalty(rq *Request) float64 {
	late := 0
	switch {
	case rq.Goals.exceededBy(me.load.promptPause(rq.PromptTokens)), rq.Goals.exceededBy(me.load.EventTime):
		late = me.load.Running + 1
	case me.load.BurstMax > 0 && rq.PromptTokens > me.load.BurstMax:
		late = me.load.Running
	}
	return min(streamPausesMaxSeconds, streamPauseSeconds*float64(late))
}

// exceededBy reports whether a pause is longer than callers accept.
func (gl Goals) exceededBy(pause time.Duration) bool { return gl.PauseMax > 0 && pause > gl.PauseMax }

// promptPause returns for how long a prompt stalls the streams of an engine that has reported its rate: its prefill
// and one decoding step. It is zero for other engines, whose agents limit bursts once streams pause for too long.
func (lo *Load) promptPause(tokens int) time.Duration {
	if lo.PrefillRate <= 0 {
		return 0
	}
	return lo.prefillTime(tokens) + lo.EventTime
}
