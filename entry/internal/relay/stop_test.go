package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

// A request that waits for its next attempt when its node's stop is about to end is told whether it has run, and when to
// come back.
func TestRequestThatWaitsAtTheEndOfAStopIsToldTheTruth(t *testing.T) {
	for _, tc := range []struct {
		name string
		rs   result
		want fault.Kind
		run  fault.Outcome
	}{
		{"after a refusal", result{ending: notRun, reason: "queue_full"}, fault.Unavailable, fault.NotRun},
		{"after an attempt that broke off", result{ending: interrupted, reason: "link_lost"}, fault.OutcomeUnknown, fault.Unknown},
		{"while it runs", result{ending: canceled, reason: reasonNodeStopping}, fault.OutcomeUnknown, fault.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ls := links.NewLinks(links.Options{Random: func() float64 { return 1 }, Logger: zerolog.Nop()})
				rl := NewRelay(ls, nil, nil, zerolog.Nop())
				ex := &execution{rl: rl, rq: &Request{Deadline: time.Now().Add(time.Hour)}, an: &answerRecorder{}, attemptCount: 1}
				ctx, cancel := context.WithCancelCause(t.Context())
				cancel(ErrStopping)
				final, err := ex.awaitRetry(ctx, "runner-0", tc.rs)
				fe := &fault.Error{}
				if !final || !errors.As(err, &fe) || fe.Kind != tc.want || fe.Outcome != tc.run || fe.RetryAfter == 0 {
					t.Errorf("final %t, %+v, want %s with the outcome %s and a time to come back", final, err, tc.want, tc.run)
				}
			})
		})
	}
}

// A call that must not run twice outlasts its caller, but not the stop of its node, and is told apart from both.
func TestCallEndsWithTheStopAndNotWithItsCaller(t *testing.T) {
	parent, cancel := context.WithCancelCause(t.Context())
	ctx, end := untilStop(parent)
	defer end()
	cancel(context.Canceled)
	if ctx.Err() != nil {
		t.Error("the call ended with its caller")
	}
	parent, cancel = context.WithCancelCause(t.Context())
	ctx, end = untilStop(parent)
	defer end()
	cancel(ErrStopping)
	<-ctx.Done()
	if rs := endOf(ctx); rs.ending != canceled || rs.reason != reasonNodeStopping {
		t.Errorf("the call ended with %+v, want the stop of the node", rs)
	}
}
