package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bambooladder/bambooladder/core/claim"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

const (
	// maxStoredAnswerBytes is the maximum size of an answer's body that is stored in the log.
	maxStoredAnswerBytes = 16 << 10
	// claimGracePeriod is how long the holder of a claim has to dispatch its attempt before the
	// attempt is voided.
	claimGracePeriod = 300 * time.Millisecond
	// verdictTimeout limits the wait for an agent's verdict on an attempt.
	verdictTimeout = 2 * time.Second
	// maxClaimRounds is how many times a call checks who holds its key.
	maxClaimRounds = 6
	// outcomeRetryAfter is how long a caller waits before it asks for the outcome again.
	outcomeRetryAfter = time.Second
)

// StorableAnswer is an Answer that can return the complete answer while it is still buffered, so that
// the answer to a claimed call can be stored in the log.
type StorableAnswer interface {
	// Kept returns the status, media type and body, or false if the body is longer than limit
	// bytes or no longer buffered completely.
	Kept(limit int) (int, string, []byte, bool)
}

// ErrStopping is the cancellation cause of requests that a planned stop of the node ends.
var ErrStopping = errors.New("relay: the node is stopping; send the request to another node")

// untilStop returns a context that outlasts its parent, unless that ends because the node is stopping.
func untilStop(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		if stopsNode(parent) {
			cancel(ErrStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// stopsNode reports whether a context has ended because the node is stopping.
func stopsNode(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// RunClaimed runs a call that must not run twice. It appends a claim on the call's idempotency
// key to the log before it dispatches an attempt. If an earlier attempt holds the key, it finds
// out what became of that attempt first.
func (rl *Relay) RunClaimed(ctx context.Context, rq *Request, entry string, an Answer) error {
	// The call continues when its caller disconnects, so that its answer can be stored.
	ctx, end := untilStop(ctx)
	defer end()
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline)
	defer cancel()
	rl.addToRetryBudget(rq.RetryPercent)
	ex := &execution{rl: rl, rq: rq, an: an}
	ca := claim.Call{Key: rq.Key, KeyTime: rq.KeyTime, BodyHash: rq.BodyHash}
	for range maxClaimRounds {
		if time.Until(rq.Deadline) <= 0 {
			return ex.timeoutError()
		}
		verdict, ho, err := rl.cs.Decide(ca)
		if err != nil {
			return err
		}
		rl.lg.Info().Str("request", rq.ID).Str("key", rq.Key).Str("verdict", verdictNames[verdict]).Msg("claim_decided")
		switch verdict {
		case claim.Replay:
			return replayAnswer(ho.Done, an)
		case claim.Resolve:
			err = rl.resolveClaim(ctx, ho, an)
		case claim.Append:
			err = ex.claimAndRun(ctx, entry)
		}
		if !errors.Is(err, errDecideAgain) {
			return err
		}
	}
	return inProgressError("the idempotency key is held by another attempt")
}

var verdictNames = [...]string{claim.Append: "append", claim.Replay: "replay", claim.Resolve: "resolve"}

// errDecideAgain means that the holder of the key may have changed and must be checked again.
var errDecideAgain = errors.New("relay: the holder of the idempotency key must be checked again")

// claimAndRun chooses a runner, claims the key for an attempt there and runs the attempt if the
// claim won. It returns errDecideAgain if another claim won or the key was released.
func (ex *execution) claimAndRun(ctx context.Context, entry string) error {
	ch, ok := ex.rl.chooseRunner(ex.rq, ex.exclude)
	if !ok {
		return ex.noRunnerError()
	}
	cl := record.Claim{
		Key: ex.rq.Key, BodyHash: ex.rq.BodyHash, Attempt: uuid.Must(uuid.NewV7()).String(),
		Entry: entry, Runner: ch.Runner, Boot: ch.Boot,
	}
	claimedAt, won, err := ex.rl.cs.Claim(ctx, cl)
	if err != nil {
		return err
	}
	ex.rl.lg.Info().Str("request", ex.rq.ID).Str("attempt", cl.Attempt).Bool("won", won).Msg("claim_appended")
	if !won {
		return errDecideAgain
	}
	ex.attemptCount++
	rs := ex.runAttempt(ctx, ch, cl.Attempt, attemptOptions{claimedAt: claimedAt})
	switch rs.ending {
	case answered:
		ex.storeAnswer(ctx, cl)
		return ex.an.Finish()
	case notRun:
		return ex.releaseClaim(ctx, cl, ch.Runner, rs)
	case interrupted, timedOut, canceled:
	}
	return fault.New(fault.OutcomeUnknown, "whether the call ran is not known ("+rs.reason+")",
		"send it again with the same key to learn the outcome").WithOutcome(fault.Unknown).WithRetryAfter(defaultRetryAfter)
}

// storeAnswer appends the end of the attempt to the log, with the answer if it is short enough.
func (ex *execution) storeAnswer(ctx context.Context, cl record.Claim) {
	do := record.Done{Key: cl.Key, Attempt: cl.Attempt}
	if sa, ok := ex.an.(StorableAnswer); ok {
		do.Status, do.ContentType, do.Body, do.Kept = sa.Kept(maxStoredAnswerBytes)
	}
	ex.rl.cs.Done(context.WithoutCancel(ctx), do)
}

// releaseClaim releases the key of an attempt that did not run. It returns errDecideAgain if the
// call may be tried again, and the final error otherwise.
func (ex *execution) releaseClaim(ctx context.Context, cl record.Claim, runner string, rs result) error {
	final, err := ex.awaitRetry(ctx, runner, rs)
	if releaseErr := ex.rl.cs.Release(ctx, record.Release{Key: cl.Key, Attempt: cl.Attempt}); releaseErr != nil {
		return ex.finalError(rs)
	}
	if final {
		return err
	}
	return errDecideAgain
}

// replayAnswer delivers the stored answer of an earlier attempt.
func replayAnswer(do *record.Done, an Answer) error {
	if !do.Kept {
		return fault.New(fault.Conflict, "the call ran, but its answer was too long to keep",
			"look up its effect; do not send it again").WithOutcome(fault.Unknown)
	}
	if !reply.IsFinalStatus(do.Status) {
		return outcomeUnknownError("the call may have run, but its stored answer is invalid")
	}
	if err := an.Head(do.Status, do.ContentType); err != nil {
		return err
	}
	if err := an.Part(do.Body); err != nil {
		return err
	}
	return an.Finish()
}

// resolveClaim asks the agent what became of the attempt that holds a key, and prevents the
// attempt from running if it has not started. It delivers the answer if there is one, and
// returns errDecideAgain once the key of a voided attempt is released.
func (rl *Relay) resolveClaim(ctx context.Context, ho *claim.Holder, an Answer) error {
	boot, connected := rl.ls.Boot(ho.Claim.Runner)
	switch {
	case !connected:
		return outcomeUnknownError("the backend server that may have run the call cannot be reached")
	case boot != ho.Claim.Boot:
		return outcomeUnknownError("the agent that may have run the call has restarted, so its outcome stays unknown")
	}
	select {
	case <-time.After(claimGracePeriod):
	case <-ctx.Done():
		return inProgressError("the idempotency key is held by another attempt")
	}
	at := rl.ls.TrackAttempt(ho.Claim.Attempt, ho.Claim.Runner, ho.Claim.Boot)
	defer at.Close()
	if !at.Void(ctx, ho.ClaimedAt) {
		return outcomeUnknownError("the backend server that may have run the call cannot be reached")
	}
	outcome := awaitVerdict(ctx, at.Events)
	rl.lg.Info().Str("attempt", ho.Claim.Attempt).Str("outcome", string(outcome)).Msg("claim_resolved")
	switch outcome {
	case wire.VerdictOutcomeVoided:
		if err := rl.cs.Release(ctx, record.Release{Key: ho.Claim.Key, Attempt: ho.Claim.Attempt}); err != nil {
			return err
		}
		return errDecideAgain
	case wire.VerdictOutcomeRunning:
		return inProgressError("the call is running")
	case wire.VerdictOutcomeAnswered:
		return rl.fetchAnswer(ctx, at, ho, an)
	case wire.VerdictOutcomeUnknown:
	}
	return outcomeUnknownError("whether the call ran is not known")
}

// fetchAnswer requests the answer of an ended attempt from its agent, stores and delivers it.
func (rl *Relay) fetchAnswer(ctx context.Context, at *links.Attempt, ho *claim.Holder, an Answer) error {
	at.Acknowledge(ctx, 0, true)
	rs := newReceiver(at, an, ho.ClaimedAt).run(ctx, time.Now().Add(verdictTimeout))
	if rs.ending != answered {
		return outcomeUnknownError("the call ran, but its answer is lost (" + rs.reason + ")")
	}
	ex := &execution{rl: rl, an: an}
	ex.storeAnswer(ctx, ho.Claim)
	return an.Finish()
}

// outcomeUnknownError returns the error for a call that may have run.
func outcomeUnknownError(message string) error {
	return fault.New(fault.OutcomeUnknown, message,
		"send it again with the same key later, or look up its effect").WithOutcome(fault.Unknown).WithRetryAfter(outcomeRetryAfter)
}

// inProgressError returns the error for a call with an earlier attempt that has not ended.
func inProgressError(message string) error {
	return fault.New(fault.InProgress, message,
		"send it again with the same key to get its answer").WithOutcome(fault.Unknown).WithRetryAfter(outcomeRetryAfter)
}

// awaitVerdict waits for the agent's verdict on an attempt. It returns VerdictOutcomeUnknown if
// none arrives within verdictTimeout.
func awaitVerdict(ctx context.Context, events <-chan links.Event) wire.VerdictOutcome {
	timeout := time.NewTimer(verdictTimeout)
	defer timeout.Stop()
	for {
		select {
		case ev := <-events:
			if ev.Frame != nil && ev.Frame.Verdict != nil {
				return ev.Frame.Verdict.Outcome
			}
		case <-timeout.C:
			return wire.VerdictOutcomeUnknown
		case <-ctx.Done():
			return wire.VerdictOutcomeUnknown
		}
	}
}
