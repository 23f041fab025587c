package spread

import "time"

const (
	// retryAfterMin is the shortest time after which a refused caller may retry.
	retryAfterMin = 400 * time.Millisecond
	// retrySpreadMin is the shortest time over which the retries of callers are spread that are refused together.
	retrySpreadMin = time.Second
)

// Admit reports whether the chosen server is expected to answer within the wait budget, and
// otherwise after what time the caller should retry. In a burst beyond what the engines can
// prefill, it refuses at once the requests that would time out in the queue. The retry time is
// when the queue should be short enough.
func (ch *Choice) Admit(remaining time.Duration) (retryAfter time.Duration, ok bool) {
	budget := ch.goals.WaitBudget(remaining)
	if ch.Wait <= budget {
		return 0, true
	}
	return ch.Wait - budget + retryAfterMin, false
}

// SpreadRetry returns when a refused caller should retry, given the earliest useful time from Admit and a random
// number from 0 to 1. It answers bursts whose refused callers would otherwise return together as a second burst. The
// retries are spread over a time that grows with the wait, at most the longest wait that is admitted.
func (ch *Choice) SpreadRetry(earliest time.Duration, random float64) time.Duration {
	over := min(ch.goals.waitMax(), max(retrySpreadMin, earliest))
	return earliest + time.Duration(random*float64(over))
}
