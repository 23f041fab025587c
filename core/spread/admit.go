package spread

import "time"

// retryAfterMin is the shortest time after which a refused caller may retry.
const retryAfterMin = 400 * time.Millisecond

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
