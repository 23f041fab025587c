package spread

import "time"

// Goals are what the callers of a route expect of its streams. The zero value is for routes without such goals.
type Goals struct {
	// PauseMax is the longest pause between two events that callers accept, zero for no bound.
	PauseMax time.Duration
}

// latePenalty returns the penalty for the streams that would pause for too long if the engine got the request. A
// prompt stalls the running streams while it is prefilled, and an engine on which a single event takes too long
// stalls the request's own stream as well. It answers a load of unequal engines, where one long prompt on a
// slow engine makes all streams late that run there.
func (me *member) latePenalty(rq *Request) float64 {
	late := 0
	if me.load.BurstMax > 0 && rq.PromptTokens > me.load.BurstMax || rq.Goals.exceededBy(me.load.promptPause(rq.PromptTokens)) {
		late = me.load.Running
	}
	if rq.Goals.exceededBy(me.load.EventTime) {
		late = me.load.Running + 1
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
