package retry

import "time"

const (
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts = 4

	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	initialRetries = 10
	maxRetries     = 1000
	percent        = 100
)

// Budget limits retries to a share of the requests. Each request adds a fraction of a
// retry and each retry takes a whole one. The zero value is ready for use.
type Budget struct {
	tokens      float64
	initialized bool
}

// AddRequest adds the given percentage of one retry to the budget.
func (bu *Budget) AddRequest(sharePercent int) {
	bu.initialize()
	bu.tokens = min(maxRetries, bu.tokens+float64(sharePercent)/percent)
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

// initialize gives a new budget initialRetries, so that the first requests of a node can
// be retried.
func (bu *Budget) initialize() {
	if !bu.initialized {
		bu.initialized = true
		bu.tokens = initialRetries
	}
}

// Backoff returns the delay before the given attempt, counted from one. The delay doubles
// with each attempt up to maxBackoff and is scaled by random, a number from 0 to 1.
func Backoff(attempt int, random float64) time.Duration {
	delay := min(maxBackoff, initialBackoff<<min(attempt-1, 6))
	return time.Duration(float64(delay) * random)
}
