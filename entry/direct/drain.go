package direct

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/fault"
)

const (
	// stopMargin is the part of the stop time reserved for closing the servers after draining.
	stopMargin = 700 * time.Millisecond
	// answerShare is the part of the time to drain that is left for answers when waits end: a request that begins
	// to run later would be cut off.
	answerShare = 0.25
	// abortMargin is how long before the end of the drain the requests that still run are answered.
	abortMargin = 200 * time.Millisecond
)

// errNodeStopping is why the context of a request ends in a planned stop.
var errNodeStopping = errors.New("direct: the node is stopping; send the request to another node")

// drain is a planned stop of the node. In its first part requests are served as always. Then waits end: a request
// that no server has got is answered as not run. At its end requests that still run are answered too.
type drain struct {
	// waits and answers end when no request may wait any more, and when none may run any more.
	waits, answers       context.Context
	endWaits, endAnswers context.CancelCauseFunc

	mu sync.Mutex
	// beganAt is when the stop began, zero while the node does not stop.
	beganAt time.Time
	// waitsEndAt and answersEndAt are when waits and answers will end.
	waitsEndAt, answersEndAt time.Time
}

// newDrain returns the drain of a node that is not stopping.
func newDrain() *drain {
	dr := &drain{}
	dr.waits, dr.endWaits = context.WithCancelCause(context.Background())
	dr.answers, dr.endAnswers = context.WithCancelCause(context.Background())
	return dr
}

// begin begins a drain that ends at a deadline.
func (dr *drain) begin(now, deadline time.Time) {
	length := deadline.Sub(now)
	waits := max(0, time.Duration((1-answerShare)*float64(length)))
	answers := max(0, length-abortMargin)
	dr.mu.Lock()
	dr.beganAt, dr.waitsEndAt, dr.answersEndAt = now, now.Add(waits), now.Add(answers)
	dr.mu.Unlock()
	time.AfterFunc(waits, func() { dr.endWaits(errNodeStopping) })
	time.AfterFunc(answers, func() { dr.endAnswers(errNodeStopping) })
}

// begun reports whether the node is stopping.
func (dr *drain) begun() bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return !dr.beganAt.IsZero()
}

// logStage adds to a log line how long the node has been stopping and when answers end. It adds nothing while the node
// does not stop.
func (dr *drain) logStage(ev *zerolog.Event) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if !dr.beganAt.IsZero() {
		ev.Dur("stopping_for", time.Since(dr.beganAt)).Dur("answers_end_in", time.Until(dr.answersEndAt))
	}
}

// waitsUntil returns until when a request with a deadline may wait.
func (dr *drain) waitsUntil(deadline time.Time) time.Time {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if !dr.beganAt.IsZero() && dr.waitsEndAt.Before(deadline) {
		return dr.waitsEndAt
	}
	return deadline
}

// boundWait returns a context that also ends when waits end.
func (dr *drain) boundWait(ctx context.Context) (context.Context, context.CancelFunc) {
	return boundBy(ctx, dr.waits)
}

// boundAnswer returns a context that also ends when no request may run any more.
func (dr *drain) boundAnswer(ctx context.Context) (context.Context, context.CancelFunc) {
	return boundBy(ctx, dr.answers)
}

// boundBy returns a context that also ends with another one, whose cause it then has.
func boundBy(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(other, func() { cancel(context.Cause(other)) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// stopsNode reports whether a context has ended because the node is stopping.
func stopsNode(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errNodeStopping) }

// stoppingError returns the error for a request that no server has got before the node stops.
func stoppingError() *fault.Error {
	return fault.New(fault.Unavailable, "the node is stopping and no backend server has run the request", "send it again to another node").
		WithRetryAfter(defaultRetryAfter)
}
