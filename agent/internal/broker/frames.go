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

// decisionWait is when to come back after a dispatch that the table refused.
const decisionWait = 100 * time.Millisecond

// frame handles a frame of an entry node.
func (br *Broker) frame(ctx context.Context, se Session, fr *wire.Frame, now time.Time) {
	switch {
	case fr.Dispatch != nil:
		br.dispatch(ctx, se, fr.Dispatch, now)
	case fr.Credit != nil:
		br.credit(ctx, se, fr.Credit)
	case fr.Cancel != nil:
		br.withdraw(fr.Cancel.Attempt, now)
	case fr.Void != nil:
		br.void(ctx, se, fr.Void, now)
	}
}

// dispatch decides whether an attempt may run and queues it.
func (br *Broker) dispatch(ctx context.Context, se Session, di *wire.Dispatch, now time.Time) {
	if _, ok := br.sessions[se]; ok {
		br.sessions[se]++
	}
	decision := br.ta.Admit(di, now)
	if decision == runs.Duplicate {
		br.credit(ctx, se, &wire.Credit{Attempt: di.Attempt, Replay: true})
		return
	}
	if decision != runs.Accept {
		br.lg.Info().Str("attempt", di.Attempt).Str("request", di.Request).Str("reason", string(decision)).Msg("dispatch_refused")
		br.sendRefusal(ctx, se, di.Attempt, string(decision), decisionWait)
		return
	}
	br.changed = true
	br.attempts[di.Attempt] = &attempt{di: di, out: output.New(di.Attempt, di.Window, di.ClaimedAt > 0, se)}
	br.act(ctx, br.sc.Submit(sched.QueuedRequest{
		Attempt: di.Attempt, Adapter: conf.AdapterVersion{Adapter: di.Adapter, Version: di.Version},
		Alone: di.Alone, Urgency: di.Urgency, Deadline: now.Add(time.Duration(di.Budget) * time.Millisecond),
	}, now))
}

// credit acknowledges chunks, or sends the rest of an answer over another connection.
func (br *Broker) credit(ctx context.Context, se Session, cr *wire.Credit) {
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

// void makes sure that an attempt never runs and answers with what became of it.
func (br *Broker) void(ctx context.Context, se Session, vo *wire.Void, now time.Time) {
	outcome := br.ta.Void(vo, now)
	br.lg.Info().Str("attempt", vo.Attempt).Str("outcome", string(outcome)).Msg("attempt_voided")
	if outcome == wire.VerdictOutcomeVoided && br.sc.Withdraw(vo.Attempt) {
		delete(br.attempts, vo.Attempt)
		br.changed = true
	}
	br.sendVerdict(ctx, se, vo.Attempt, outcome)
}

// withdraw stops a request that nobody waits for.
func (br *Broker) withdraw(name string, now time.Time) {
	at := br.attempts[name]
	if at == nil || !at.endedAt.IsZero() {
		return
	}
	br.changed = true
	if br.sc.Withdraw(name) {
		br.ta.End(name, runs.Refused, now)
		delete(br.attempts, name)
		return
	}
	if at.cancel != nil && at.di.ClaimedAt == 0 {
		at.cancel()
	}
}

// sendRefusal says that an attempt has not run and will not run.
func (br *Broker) sendRefusal(ctx context.Context, se Session, name, reason string, wait time.Duration) {
	br.sendAside(ctx, se, &wire.Frame{Refusal: &wire.Refusal{Attempt: name, Reason: reason, RetryAfter: wait.Milliseconds()}})
}

// sendVerdict says what became of an attempt.
func (br *Broker) sendVerdict(ctx context.Context, se Session, name string, outcome wire.VerdictOutcome) {
	br.sendAside(ctx, se, &wire.Frame{Verdict: &wire.Verdict{Attempt: name, Outcome: outcome}})
}

// sendAside sends without holding up the broker when the connection is slow.
func (br *Broker) sendAside(ctx context.Context, se Session, fr *wire.Frame) {
	if se.TrySend(fr) {
		return
	}
	go func() { _ = se.Send(ctx, fr) }()
}
