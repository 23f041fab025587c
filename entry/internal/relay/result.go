package relay

import "time"

// ending is how an attempt ended.
type ending int

const (
	// answered means that the complete answer was received.
	answered ending = iota
	// notRun means that the attempt did not run and will not run.
	notRun
	// interrupted means that the attempt may have run, wholly or in part.
	interrupted
	// timedOut means that the deadline passed.
	timedOut
	// canceled means that the caller disconnected.
	canceled
)

// result is how an attempt ended and why.
type result struct {
	ending     ending
	reason     string
	retryAfter time.Duration
	// crashID identifies the engine crash that ended the attempt, empty if there was none.
	crashID string
}
