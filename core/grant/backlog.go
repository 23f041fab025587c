package grant

import "time"

// backlog returns the estimated time until the engine has prefilled the granted prompts and the
// matching queued ones.
func (en *Engine) backlog(now time.Time, match func(rq *Request) bool) time.Duration {
	tokens := 0
	for ix := range en.queue {
		if match(&en.queue[ix]) {
			tokens += en.queue[ix].PromptTokens
		}
	}
	return max(0, en.pacer.prefillDoneAt.Sub(now)) + en.pacer.speed.prefillTime(tokens)
}

// backlogBefore returns the backlog that a new request finds. Unlike in Load it includes the
// queued requests that wait for the same adapter, all of which are granted once it is loaded.
func (en *Engine) backlogBefore(ke Key, now time.Time) time.Duration {
	return en.backlog(now, func(rq *Request) bool { return rq.Key == ke || en.isLoaded(rq.Key) })
}

// isLoaded reports whether some version of an adapter is loaded.
func (en *Engine) isLoaded(ke Key) bool {
	_, loaded := en.loaded[ke]
	return loaded
}

// memoryFree returns the KV cache tokens that no granted request has reserved.
func (en *Engine) memoryFree() int { return en.observation.MemoryTotal - en.reserved }

// PrefillTime returns the time that an engine needs to prefill tokens at the default rate.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / DefaultPrefillRate * float64(time.Second))
}
