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
		dr := newDrain()
		start := time.Now()
		far, near := start.Add(time.Hour), start.Add(time.Second)
		waitCtx, endWait := dr.boundWait(t.Context())
		defer endWait()
		answerCtx, endAnswer := dr.boundAnswer(t.Context())
		defer endAnswer()
		if dr.begun() || dr.waitsUntil(far) != far {
			t.Error("a node that is not stopping bounds waits")
		}
		dr.begin(start, start.Add(length))
		if !dr.begun() || dr.waitsUntil(near) != near || !dr.waitsUntil(far).Before(start.Add(length)) {
			t.Errorf("waits end at %v for a deadline at %v, and at %v for one at %v", dr.waitsUntil(near), near, dr.waitsUntil(far), far)
		}
		<-waitCtx.Done()
		waits := time.Since(start)
		if answerCtx.Err() != nil || !stopsNode(waitCtx) {
			t.Errorf("waits ended after %v with %v, answers with %v", waits, context.Cause(waitCtx), context.Cause(answerCtx))
		}
		<-answerCtx.Done()
		if answers := time.Since(start); answers <= waits || answers >= length || !stopsNode(answerCtx) {
			t.Errorf("answers ended after %v with %v", answers, context.Cause(answerCtx))
		}
	})
}

// The end of a request is not the end of the node.
func TestBoundContextEndsForItsOwnReasonToo(t *testing.T) {
	dr := newDrain()
	parent, cancel := context.WithCancel(t.Context())
	ctx, end := dr.boundWait(parent)
	defer end()
	cancel()
	<-ctx.Done()
	if stopsNode(ctx) {
		t.Errorf("the context ended with %v, want the end of its parent", context.Cause(ctx))
	}
}
