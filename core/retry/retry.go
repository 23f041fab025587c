package retry

import "time"

const (
	// MaxAttempts is the maximum number of attempts of a request whose retries a Budget limits; a
	// request with a State has limits of its own.
	MaxAttempts = 4

	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	initialTokens  = 10
	maxTokens      = 1000 // the most retries that a Budget saves up
	percent        = 100
)

// Budget is a token bucket that limits retries to a share of the requests, with a reserve of
// at most maxTokens. Each request adds a fraction of a token and each retry takes a whole one.
// The zero value is ready for use.
type Budget struct {
	tokens      float64
	initialized bool
}

// AddRequest adds the given percentage of one retry to the budget.
func (bu *Budget) AddRequest(sharePercent int) {
	bu.initialize()
	bu.tokens = min(maxTokens, bu.tokens+float64(sharePercent)/percent)
}

// Take spends one retry and reports whether one was available.
func (bu *Budget) Take() bool {
	bu.initialize()
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

// initialize gives a new budget initialTokens, so that the first requests of a node can
// be retried.
func (bu *Budget) initialize() {
	if !bu.initialized {
		bu.initialized = true
		bu.tokens = initialTokens
	}
}

// Backoff returns the delay after the given attempt, counted from one. The delay doubles
// with each attempt up to maxBackoff and is multiplied by random, a number from 0 to 1 (full
// jitter).
func Backoff(attempt int, random float64) time.Duration {
	delay := min(maxBackoff, initialBackoff<<min(attempt-1, 6))
	return time.Duration(float64(delay) * random)
}
