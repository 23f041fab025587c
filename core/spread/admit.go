package spread

import "time"

const (
	// firstByteWaitMax is the longest expected wait that is admitted: callers give up a stream
	// that has brought no first event after about this long.
	firstByteWaitMax = 3500 * time.Millisecond
	// retryAfterMin is the shortest time after which a refused caller may retry.
	retryAfterMin = 400 * time.Millisecond
)

// WaitBudget returns how long a request may wait for its first byte, given the time remaining
// until its deadline.
func WaitBudget(remaining time.Duration) time.Duration { return min(firstByteWaitMax, remaining) }

// Admit reports whether the chosen server is expected to answer within the wait budget, and
// otherwise after what time the caller should retry. In a burst beyond what the engines can
// prefill, it refuses at once the requests that would time out in the queue. The retry time is
// when the queue should be short enough.
func (ch *Choice) Admit(remaining time.Duration) (retryAfter time.Duration, ok bool) {
	budget := WaitBudget(remaining)
	if ch.Wait <= budget {
		return 0, true
	}
	return ch.Wait - budget + retryAfterMin, false
}
