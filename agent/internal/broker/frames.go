package broker

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/agent/internal/output"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/runs"
	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

// refusalRetryAfter is the retry delay in a refusal that does not come from the scheduler.
const refusalRetryAfter = 100 * time.Millisecond

// frameReceived handles a frame that an entry node sent.
func (br *Broker) frameReceived(ctx context.Context, se Session, fr *wire.Frame, now time.Time) {
	switch {
	case fr.Dispatch != nil:
		br.handleDispatch(ctx, se, fr.Dispatch, now)
	case fr.Credit != nil:
		br.handleCredit(ctx, se, fr.Credit)
	case fr.Cancel != nil:
		br.stopAttempt(fr.Cancel.Attempt, now)
	case fr.Void != nil:
		br.handleVoid(ctx, se, fr.Void, now)
	}
}

// handleDispatch queues a dispatched attempt if it may run. One that was received before is not run
// again; its answer is sent again instead.
func (br *Broker) handleDispatch(ctx context.Context, se Session, di *wire.Dispatch, now time.Time) {
	if _, ok := br.sessions[se]; ok {
		br.sessions[se]++
	}
	decision := br.ta.Admit(di, now)
	if decision == runs.Duplicate {
		br.handleCredit(ctx, se, &wire.Credit{Attempt: di.Attempt, Replay: true})
		return
	}
	if decision != runs.Accept {
		br.lg.Info().Str("attempt", di.Attempt).Str("request", di.Request).Str("reason", string(decision)).Msg("dispatch_refused")
		br.sendRefusal(ctx, se, di.Attempt, string(decision), refusalRetryAfter)
		return
	}
	br.stateChanged = true
	br.attempts[di.Attempt] = &attempt{di: di, out: output.New(di.Attempt, di.Window, di.ClaimedAt > 0, se)}
	br.executeActions(ctx, br.sc.Submit(sched.QueuedRequest{
		Attempt: di.Attempt, Adapter: conf.AdapterVersion{Adapter: di.Adapter, Version: di.Version},
		Alone: di.Alone, Urgency: di.Urgency, Deadline: now.Add(time.Duration(di.Budget) * time.Millisecond),
	}, now))
}

// handleCredit records which chunks the entry node has received. If it asks for a replay, the
// rest of the answer is sent over the connection that the credit arrived on, or a verdict with an
// unknown outcome if the rest is no longer held.
func (br *Broker) handleCredit(ctx context.Context, se Session, cr *wire.Credit) {
	at := br.attempts[cr.Attempt]
	if at == nil {
		if cr.Replay {
			br.sendVerdict(ctx, se, cr.Attempt, wire.VerdictOutcomeUnknown)
		}
		return
	}
	at.out.Acknowledge(cr.Received)
	if !cr.Replay {
		return
	}
	go func() {
		if !at.out.Attach(ctx, se, cr.Received) {
			br.sendVerdict(ctx, se, cr.Attempt, wire.VerdictOutcomeUnknown)
		}
	}()
}

// handleVoid ensures that an attempt never runs, unless it has started already, and sends its state
// as a verdict.
func (br *Broker) handleVoid(ctx context.Context, se Session, vo *wire.Void, now time.Time) {
	outcome := br.ta.Void(vo, now)
	br.lg.Info().Str("attempt", vo.Attempt).Str("outcome", string(outcome)).Msg("void_handled")
	if outcome == wire.VerdictOutcomeVoided && br.sc.Withdraw(vo.Attempt) {
		delete(br.attempts, vo.Attempt)
		br.stateChanged = true
	}
	br.sendVerdict(ctx, se, vo.Attempt, outcome)
}

// stopAttempt stops an attempt whose answer nobody waits for. A running attempt with a claim
// continues, because its answer may be asked for later.
func (br *Broker) stopAttempt(attemptID string, now time.Time) {
	at := br.attempts[attemptID]
	if at == nil || !at.endedAt.IsZero() {
		return
	}
	br.stateChanged = true
	if br.sc.Withdraw(attemptID) {
		br.ta.End(attemptID, runs.Refused, now)
		delete(br.attempts, attemptID)
		return
	}
	if at.cancel != nil && at.di.ClaimedAt == 0 {
		at.cancel()
	}
}

// sendRefusal informs an entry node that an attempt has not run and will not run.
func (br *Broker) sendRefusal(ctx context.Context, se Session, attemptID, reason string, retryAfter time.Duration) {
	br.sendWithoutBlocking(ctx, se, &wire.Frame{Refusal: &wire.Refusal{
		Attempt: attemptID, Reason: reason, RetryAfter: retryAfter.Milliseconds(),
	}})
}

// sendVerdict informs an entry node of the state of an attempt.
func (br *Broker) sendVerdict(ctx context.Context, se Session, attemptID string, outcome wire.VerdictOutcome) {
	br.sendWithoutBlocking(ctx, se, &wire.Frame{Verdict: &wire.Verdict{Attempt: attemptID, Outcome: outcome}})
}

// sendWithoutBlocking sends a frame without blocking the broker if the connection's queue is full.
func (br *Broker) sendWithoutBlocking(ctx context.Context, se Session, fr *wire.Frame) {
	if se.TrySend(fr) {
		return
	}
	go func() { _ = se.Send(ctx, fr) }()
}
