package relay

import (
	"context"

	"github.com/bambooladder/bambooladder/core/fault"
)

// endedError returns the error for a request whose context has ended: the node is stopping, or the caller has
// disconnected.
func endedError(ctx context.Context, outcome fault.Outcome) error {
	switch {
	case stopsNode(ctx) && outcome == fault.NotRun:
		return fault.New(fault.Unavailable, "the node is stopping and no backend server has run the request",
			"send it again to another node").WithRetryAfter(defaultRetryAfter)
	case stopsNode(ctx):
		return fault.New(fault.OutcomeUnknown, "the node is stopping while the request runs",
			"send it again to another node").WithOutcome(outcome).WithRetryAfter(defaultRetryAfter)
	}
	return fault.New(fault.Unavailable, "the caller went away", "send the request again").WithOutcome(outcome)
}

// outcome returns fault.Unknown if any attempt may have run, and fault.NotRun otherwise.
func (ex *execution) outcome() fault.Outcome {
	if ex.mayHaveRun {
		return fault.Unknown
	}
	return fault.NotRun
}

// finalError returns the error for a request that is not tried again after a failed attempt.
func (ex *execution) finalError(rs result) error {
	kind := fault.Overloaded
	if ex.mayHaveRun {
		kind = fault.OutcomeUnknown
	}
	wait := max(rs.retryAfter, defaultRetryAfter)
	return fault.New(kind, "no backend server could answer the request ("+rs.reason+")",
		"send the request again later").WithOutcome(ex.outcome()).WithRetryAfter(wait)
}

// timeoutError returns the error for a request whose deadline has passed.
func (ex *execution) timeoutError() error {
	return fault.New(fault.Timeout, "the request was not answered in its time",
		"allow more time or send it again later").WithOutcome(ex.outcome()).WithRetryAfter(defaultRetryAfter)
}

// noRunnerError returns the error for a request for which no runner can be chosen.
func (ex *execution) noRunnerError() error {
	kind := fault.Unavailable
	if ex.mayHaveRun {
		kind = fault.OutcomeUnknown
	}
	return fault.New(kind, "no backend server can take the request now",
		"send the request again later").WithOutcome(ex.outcome()).WithRetryAfter(defaultRetryAfter)
}
