package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bambooladder/bambooladder/core/claim"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

const (
	// keepBytes bounds the answers that are kept in the log, in bytes.
	keepBytes = 16 << 10
	// youngClaim is how long a holder gets to dispatch before its attempt is voided.
	youngClaim = 300 * time.Millisecond
	// verdictWait bounds the wait for the agent's word on an attempt.
	verdictWait    = 2 * time.Second
	releaseTimeout = 2 * time.Second
	roundsMax      = 6
	retryWait      = time.Second
)

// Keeper gives what an answer held, for the record of a claimed call.
type Keeper interface {
	// Kept returns status, media type and body, or false where the body is too long.
	Kept(limit int) (int, string, []byte, bool)
}

// RunClaimed carries a call that must not be repeated: a claim in the log comes
// before the dispatch, and a claim of another attempt is resolved before a new one.
func (rl *Relay) RunClaimed(ctx context.Context, rq *Request, entry string, an Answer) error {
	// The call outlives its caller, so that its answer can be kept.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.Deadline)
	defer cancel()
	rl.refill(rq.RetryPercent)
	ex := &execution{rl: rl, rq: rq, an: an}
	ca := claim.Call{Key: rq.Key, KeyTime: rq.KeyTime, BodyHash: rq.BodyHash}
	for range roundsMax {
		if time.Until(rq.Deadline) <= 0 {
			return ex.timeout()
		}
		verdict, ho, err := rl.cs.Decide(ca)
		if err != nil {
			return err
		}
		rl.lg.Info().Str("request", rq.ID).Str("key", rq.Key).Str("verdict", verdictNames[verdict]).Msg("claim_decided")
		switch verdict {
		case claim.Replay:
			return replay(ho.Done, an)
		case claim.Resolve:
			err = rl.resolve(ctx, ho, an)
		case claim.Append:
			err = ex.claimAndRun(ctx, entry)
		}
		if !errors.Is(err, errAgain) {
			return err
		}
	}
	return inProgress("the idempotency key is held by another attempt")
}

var verdictNames = [...]string{claim.Append: "append", claim.Replay: "replay", claim.Resolve: "resolve"}

// errAgain asks for another round.
var errAgain = errors.New("relay: another round is needed")

// claimAndRun claims the key for a runner and runs the call there.
func (ex *execution) claimAndRun(ctx context.Context, entry string) error {
	ch, ok := ex.rl.choose(ex.rq, ex.exclude)
	if !ok {
		return ex.noRunner()
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
		return errAgain
	}
	ex.tries++
	rs := ex.attempt(ctx, ch, cl.Attempt, plan{claimedAt: claimedAt})
	switch rs.kind {
	case answered:
		ex.keep(ctx, cl)
		return ex.an.Finish()
	case notRun:
		return ex.release(ctx, cl, ch.Runner, rs)
	case broken, timedOut, gone:
	}
	return fault.New(fault.OutcomeUnknown, "whether the call ran is not known ("+rs.reason+")",
		"send it again with the same key to learn the outcome").WithOutcome(fault.Unknown).WithRetryAfter(comeBack)
}

// keep records the answer.
func (ex *execution) keep(ctx context.Context, cl record.Claim) {
	do := record.Done{Key: cl.Key, Attempt: cl.Attempt}
	if ke, ok := ex.an.(Keeper); ok {
		do.Status, do.ContentType, do.Body, do.Kept = ke.Kept(keepBytes)
	}
	ex.rl.cs.Done(context.WithoutCancel(ctx), do)
}

// release frees the key of an attempt that has not run, then tries again or gives up.
func (ex *execution) release(ctx context.Context, cl record.Claim, runner string, rs result) error {
	final, err := ex.failed(ctx, runner, rs)
	if released := ex.rl.cs.Release(ctx, record.Release{Key: cl.Key, Attempt: cl.Attempt}); released != nil {
		return ex.gaveUp(rs)
	}
	if final {
		return err
	}
	return errAgain
}

// replay answers a call with the answer that was kept.
func replay(do *record.Done, an Answer) error {
	if !do.Kept {
		return fault.New(fault.Conflict, "the call ran, but its answer was too long to keep",
			"look up its effect; do not send it again").WithOutcome(fault.Unknown)
	}
	if err := an.Head(do.Status, do.ContentType); err != nil {
		return err
	}
	if err := an.Part(do.Body); err != nil {
		return err
	}
	return an.Finish()
}

// resolve finds out what became of the attempt that holds a key.
func (rl *Relay) resolve(ctx context.Context, ho *claim.Holder, an Answer) error {
	boot, connected := rl.ls.Boot(ho.Claim.Runner)
	switch {
	case !connected:
		return unsure("the backend server that may have run the call cannot be reached")
	case boot != ho.Claim.Boot:
		return unsure("the agent that may have run the call has restarted, so its outcome stays unknown")
	}
	select {
	case <-time.After(youngClaim):
	case <-ctx.Done():
		return inProgress("the idempotency key is held by another attempt")
	}
	at := rl.ls.Watch(ho.Claim.Attempt, ho.Claim.Runner, ho.Claim.Boot)
	defer at.Close()
	if !at.Void(ctx, ho.ClaimedAt) {
		return unsure("the backend server that may have run the call cannot be reached")
	}
	outcome := awaitVerdict(ctx, at.Signals)
	rl.lg.Info().Str("attempt", ho.Claim.Attempt).Str("outcome", string(outcome)).Msg("claim_resolved")
	switch outcome {
	case wire.VerdictOutcomeVoided:
		if err := rl.cs.Release(ctx, record.Release{Key: ho.Claim.Key, Attempt: ho.Claim.Attempt}); err != nil {
			return err
		}
		return errAgain
	case wire.VerdictOutcomeRunning:
		return inProgress("the call is running")
	case wire.VerdictOutcomeAnswered:
		return rl.fetch(ctx, at, ho, an)
	case wire.VerdictOutcomeUnknown:
	}
	return unsure("whether the call ran is not known")
}

// fetch takes the answer of an ended attempt from its agent and keeps it.
func (rl *Relay) fetch(ctx context.Context, at *links.Attempt, ho *claim.Holder, an Answer) error {
	at.Acknowledge(ctx, 0, true)
	rs := newReception(at, an, ho.ClaimedAt).run(ctx, time.Now().Add(verdictWait))
	if rs.kind != answered {
		return unsure("the call ran, but its answer is lost (" + rs.reason + ")")
	}
	ex := &execution{rl: rl, an: an}
	ex.keep(ctx, ho.Claim)
	return an.Finish()
}

// unsure returns the error for a call that may have run.
func unsure(message string) error {
	return fault.New(fault.OutcomeUnknown, message,
		"send it again with the same key later, or look up its effect").WithOutcome(fault.Unknown).WithRetryAfter(retryWait)
}

// inProgress returns the error for a call whose earlier attempt is under way.
func inProgress(message string) error {
	return fault.New(fault.InProgress, message,
		"send it again with the same key to get its answer").WithOutcome(fault.Unknown).WithRetryAfter(retryWait)
}

// awaitVerdict returns the agent's word on an attempt, or unknown where none comes.
func awaitVerdict(ctx context.Context, signals <-chan links.Signal) wire.VerdictOutcome {
	limit := time.NewTimer(verdictWait)
	defer limit.Stop()
	for {
		select {
		case si := <-signals:
			if si.Frame != nil && si.Frame.Verdict != nil {
				return si.Frame.Verdict.Outcome
			}
		case <-limit.C:
			return wire.VerdictOutcomeUnknown
		case <-ctx.Done():
			return wire.VerdictOutcomeUnknown
		}
	}
}
