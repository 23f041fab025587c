package retry

import "time"

// Outcome is what is known about an attempt that gave the caller no usable answer.
type Outcome int

// Outcomes of an attempt.
const (
	// Unsent means that no part of the request was sent.
	Unsent Outcome = iota
	// NotRun means that the server stated that it did not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// Failed means that the server answered with an error of its own, so the request may
	// have run.
	Failed
)

var outcomeNames = [...]string{"unsent", "not_run", "unknown", "failed"}

// String returns the name of the outcome in log lines.
func (ou Outcome) String() string { return outcomeNames[ou] }

// Step is what to do with a request after an attempt.
type Step int

// Steps after an attempt.
const (
	// Again sends the request again.
	Again Step = iota
	// Refuse tells the caller that the request did not run and may be sent again later.
	Refuse
	// Fail tells the caller that the request may have run.
	Fail
	// Deliver passes the server's error answer on to the caller.
	Deliver
)

var stepNames = [...]string{"again", "refuse", "fail", "deliver"}

// String returns the name of the step in log lines.
func (st Step) String() string { return stepNames[st] }

const (
	// maxNotRunRetries bounds the retries after attempts with the outcome Unsent or NotRun. These
	// attempts do not count toward the route's own limit of attempts.
	maxNotRunRetries = 2
	// minTimeLeft is the remaining time that another attempt needs.
	minTimeLeft = 30 * time.Millisecond
)

// State describes the attempts of a request so far.
type State struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// PossibleRuns counts the attempts that may have run.
	PossibleRuns int
	// NotRunCount counts the attempts with the outcome Unsent or NotRun.
	NotRunCount int
	// MaxPossibleRuns is the maximum number of attempts that may run, at least one.
	MaxPossibleRuns int
	// TimeLeft is the time until the caller stops waiting.
	TimeLeft time.Duration
}

// WithOutcome returns the state with one more attempt, which had the given outcome.
func (st State) WithOutcome(ou Outcome) State {
	if ou == Unknown || ou == Failed {
		st.PossibleRuns++
		return st
	}
	st.NotRunCount++
	return st
}

// NextStep returns what to do after an attempt with the given outcome, which st already counts.
// It calls budget, which spends a retry, only if all other conditions allow another attempt
// and some part of the request was sent.
func NextStep(st State, ou Outcome, budget func() bool) Step {
	mayHaveRun := ou == Unknown || ou == Failed
	retryable := st.PossibleRuns < max(1, st.MaxPossibleRuns) && st.NotRunCount <= maxNotRunRetries && st.TimeLeft > minTimeLeft &&
		(!mayHaveRun || st.Repeatable)
	if retryable && (ou == Unsent || budget()) {
		return Again
	}
	switch {
	case ou == Failed:
		return Deliver
	case st.PossibleRuns > 0:
		return Fail
	}
	return Refuse
}
