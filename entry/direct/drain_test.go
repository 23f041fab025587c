package direct

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Waits end while there is still time for answers, and answers end before the connections are closed.
func TestDrainEndsWaitsBeforeAnswersAndAnswersBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 8 * time.Second
		dr := newDraining()
		start := time.Now()
		far, near := startTerms{deadline: start.Add(time.Hour)}, startTerms{deadline: start.Add(time.Second)}
		waitCtx, endWait := dr.boundWait(t.Context(), far)
		defer endWait()
		answerCtx, endAnswer := dr.boundAnswer(t.Context())
		defer endAnswer()
		if dr.begun() || dr.latestStart(far) != far.deadline {
			t.Error("a node that is not stopping bounds waits")
		}
		closed := dr.begin(start, length).ClosedAt
		if !dr.begun() || dr.latestStart(near) != near.deadline || !dr.latestStart(far).Before(closed) || !closed.Before(start.Add(length)) {
			t.Errorf("waits end at %v for %v, and at %v for %v", dr.latestStart(near), near, dr.latestStart(far), far)
		}
		<-waitCtx.Done()
		waits := time.Since(start)
		if answerCtx.Err() != nil || !stopsNode(waitCtx) {
			t.Errorf("waits ended after %v with %v, answers with %v", waits, context.Cause(waitCtx), context.Cause(answerCtx))
		}
		<-answerCtx.Done()
		if answers := time.Since(start); answers <= waits || answers >= closed.Sub(start) || !stopsNode(answerCtx) {
			t.Errorf("answers ended after %v with %v", answers, context.Cause(answerCtx))
		}
	})
}

// The end of a request is not the end of the node.
func TestBoundContextEndsForItsOwnReasonToo(t *testing.T) {
	dr := newDraining()
	parent, cancel := context.WithCancel(t.Context())
	ctx, end := dr.boundWait(parent, startTerms{})
	defer end()
	cancel()
	<-ctx.Done()
	if stopsNode(ctx) {
		t.Errorf("the context ended with %v, want the end of its parent", context.Cause(ctx))
	}
}
