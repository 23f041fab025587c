package retry

import "time"

// Outcome is what is known of an attempt that brought no answer for the caller.
type Outcome int

// Outcomes.
const (
	// Unsent means that nothing of the request has left.
	Unsent Outcome = iota
	// NotRun means that the server says it has not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// Failed means that the server answered with a failure of its own.
	Failed
)

var outcomeNames = [...]string{"unsent", "not_run", "unknown", "failed"}

// String returns the outcome's name in logs.
func (ou Outcome) String() string { return outcomeNames[ou] }

// Step is what follows.
type Step int

// Steps.
const (
	// Again means another attempt.
	Again Step = iota
	// Refuse means that the request has not run: the caller may come back.
	Refuse
	// Fail means that the request may have run.
	Fail
	// Deliver means that the server's own failure goes to the caller.
	Deliver
)

var stepNames = [...]string{"again", "refuse", "fail", "deliver"}

// String returns the step's name in logs.
func (st Step) String() string { return stepNames[st] }

const (
	// refusedMax bounds the attempts beyond the route's bound that servers have not run.
	refusedMax = 2
	// leftMin is the time below which no further attempt is made.
	leftMin = 30 * time.Millisecond
)

// State is what a request has been through.
type State struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Ran counts the attempts that may have run.
	Ran int
	// Refused counts the attempts that have not run.
	Refused int
	// RanMax bounds the attempts that may run.
	RanMax int
	// Left is the time until the caller goes.
	Left time.Duration
}

// After counts an attempt with its outcome.
func (st State) After(ou Outcome) State {
	if ou == Unknown || ou == Failed {
		st.Ran++
		return st
	}
	st.Refused++
	return st
}

// Next decides what follows an attempt, under errors of servers and lost answers. The
// budget is asked only where another attempt would be sound.
func Next(st State, ou Outcome, budget func() bool) Step {
	ran := ou == Unknown || ou == Failed
	may := st.Ran < max(1, st.RanMax) && st.Refused <= refusedMax && st.Left > leftMin && (!ran || st.Repeatable)
	if may && (ou == Unsent || budget()) {
		return Again
	}
	switch {
	case ou == Failed:
		return Deliver
	case st.Ran > 0:
		return Fail
	}
	return Refuse
}
