package retry

import "time"

const (
	// AttemptsMax bounds the attempts of one request.
	AttemptsMax = 4

	backoffFirst = 20 * time.Millisecond
	backoffMax   = time.Second
	budgetFloor  = 10
	budgetMax    = 1000
	percent      = 100
)

// Budget is a store of retries that each request refills by a share.
type Budget struct {
	tokens float64
	filled bool
}

// Request refills the budget by a percentage of one retry.
func (bu *Budget) Request(share int) {
	bu.start()
	bu.tokens = min(budgetMax, bu.tokens+float64(share)/percent)
}

// Take spends one retry and tells whether there was one.
func (bu *Budget) Take() bool {
	bu.start()
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

// start gives a new budget a few retries, so that the first requests of a node can be retried.
func (bu *Budget) start() {
	if !bu.filled {
		bu.filled = true
		bu.tokens = budgetFloor
	}
}

// Backoff returns an exponential delay before an attempt, counted from one, scaled by a random number from 0 to 1.
func Backoff(attempt int, random float64) time.Duration {
	delay := min(backoffMax, backoffFirst<<min(attempt-1, 6))
	return time.Duration(float64(delay) * random)
}
