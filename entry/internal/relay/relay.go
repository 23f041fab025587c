package relay

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/core/route"
	"github.com/bambooladder/bambooladder/entry/internal/claims"
	"github.com/bambooladder/bambooladder/entry/internal/crash"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

const (
	reasonLeaving = "leaving"
	comeBack      = 500 * time.Millisecond
)

// Relay carries requests.
type Relay struct {
	ls *links.Links
	cs *claims.Claims
	cr *crash.Reports
	lg zerolog.Logger

	mu     sync.Mutex
	budget retry.Budget
}

// NewRelay returns a relay over the links.
func NewRelay(ls *links.Links, cs *claims.Claims, cr *crash.Reports, lg zerolog.Logger) *Relay {
	return &Relay{ls: ls, cs: cs, cr: cr, lg: lg}
}

// execution is one request on its way.
type execution struct {
	rl      *Relay
	rq      *Request
	an      Answer
	exclude []string
	// unsure is set once an attempt may have run.
	unsure bool
	tries  int
	// fingerprint identifies a model request over all its sends.
	fingerprint string
}

// Run carries a request that may be repeated; the error is typed and tells whether the request ran.
func (rl *Relay) Run(ctx context.Context, rq *Request, an Answer) error {
	rl.refill(rq.RetryPercent)
	ex := &execution{rl: rl, rq: rq, an: an}
	if rq.Service == "" {
		ex.fingerprint = poison.Fingerprint(rq.Adapter, rq.Body)
	}
	for {
		ch, ok := rl.choose(rq, ex.exclude)
		if !ok {
			return ex.noRunner()
		}
		if an.Begun() && !rl.ls.Resumes(ch.Runner) {
			ex.exclude = append(ex.exclude, ch.Runner)
			continue
		}
		id := uuid.Must(uuid.NewV7()).String()
		alone, err := ex.admit(ctx, id)
		if err != nil {
			return err
		}
		ex.tries++
		rs := ex.attempt(ctx, ch, id, plan{alone: alone})
		if alone && rs.crash == "" {
			rl.cr.Clear(context.WithoutCancel(ctx), record.Clear{Fingerprint: ex.fingerprint, Attempt: id, Answered: rs.kind == answered})
		}
		if rs.kind == answered {
			return an.Finish()
		}
		if rs.crash != "" {
			rl.cr.Report(ctx, record.CrashReport{Fingerprint: ex.fingerprint, Crash: rs.crash, Attempt: id})
		}
		if final, err := ex.failed(ctx, ch.Runner, rs); final {
			return err
		}
	}
}

// admit decides whether a request that was at a crash may run; it runs alone then.
func (ex *execution) admit(ctx context.Context, id string) (bool, error) {
	if ex.fingerprint == "" {
		return false, nil
	}
	verdict := ex.rl.cr.Decide(ex.fingerprint)
	if verdict == poison.Free {
		return false, nil
	}
	ex.rl.lg.Info().Str("request", ex.rq.ID).Str("fingerprint", ex.fingerprint).Str("verdict", verdict.String()).Msg("quarantine_decided")
	if verdict == poison.Probe && ex.rl.cr.Probe(ctx, record.Probe{Fingerprint: ex.fingerprint, Attempt: id}) == nil {
		return true, nil
	}
	if verdict == poison.Blocked || ex.rl.cr.Decide(ex.fingerprint) == poison.Blocked {
		return false, fault.New(fault.Blocked, "engines crashed twice while they ran this request",
			"change the request, or send it again once it is forgotten").WithOutcome(ex.outcome()).WithRetryAfter(poison.Retention)
	}
	return false, fault.New(fault.Overloaded, "an engine crashed while it ran this request, which is being tried apart from others",
		"send the request again later").WithOutcome(ex.outcome()).WithRetryAfter(comeBack)
}

// refill adds to the budget of retries.
func (rl *Relay) refill(percent int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.budget.AddRequest(percent)
}

// takeRetry spends a retry.
func (rl *Relay) takeRetry() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.budget.Take()
}

// choose takes a routing decision and logs it with its reason.
func (rl *Relay) choose(rq *Request, exclude []string) (route.Choice, bool) {
	ch, ok := rl.ls.Choose(rq.routing(exclude))
	ev := rl.lg.Info().Str("request", rq.ID).Str("team", rq.Team)
	if rq.Service != "" {
		ev = ev.Str("service", rq.Service)
	} else {
		ev = ev.Str("adapter", rq.Adapter.String())
	}
	if !ok {
		ev.Str("reason", "no_runner").Strs("excluded", exclude).Msg("route_refused")
		return ch, false
	}
	ev.Str("runner", ch.Runner).Str("reason", string(ch.Reason)).Str("candidates", candidates(ch)).Msg("route_chosen")
	return ch, true
}

// candidates renders the compared runners with their costs.
func candidates(ch route.Choice) string {
	parts := make([]string, 0, len(ch.Candidates))
	for ix := range ch.CandidateCount {
		ca := ch.Candidates[ix]
		parts = append(parts, ca.Runner+":"+strconv.FormatFloat(ca.Cost, 'f', 3, 64))
	}
	return strings.Join(parts, ",")
}

// plan is how an attempt is run.
type plan struct {
	// claimedAt is the log time of the claim in Unix milliseconds, zero without one.
	claimedAt int64
	// alone keeps other requests off the engine.
	alone bool
}

// attempt runs the request once at a runner.
func (ex *execution) attempt(ctx context.Context, ch route.Choice, id string, pl plan) result {
	claimedAt := pl.claimedAt
	di := ex.rq.dispatch(id, ch.Boot, claimedAt, ex.an.Tokens())
	di.Alone = pl.alone
	at, err := ex.rl.ls.Dispatch(ctx, ch.Runner, di)
	if err != nil {
		return result{kind: notRun, reason: "no_link"}
	}
	defer at.Close()
	rs := newReception(at, ex.an, claimedAt).run(ctx, ex.rq.Deadline)
	if claimedAt == 0 && (rs.kind == gone || rs.kind == timedOut || rs.kind == broken) {
		at.Cancel(context.WithoutCancel(ctx))
	}
	ex.rl.judge(ch.Runner, rs)
	ex.rl.lg.Info().Str("request", ex.rq.ID).Str("attempt", id).Str("runner", ch.Runner).
		Str("outcome", rs.kind.String()).Str("reason", rs.reason).Msg("attempt_ended")
	return rs
}

// String returns the kind's name in logs.
func (ki kind) String() string {
	return [...]string{"answered", "not_run", "broken", "timed_out", reasonCallerGone}[ki]
}

// judge records what an attempt says about its runner.
func (rl *Relay) judge(runner string, rs result) {
	switch {
	case rs.kind == answered:
		rl.ls.Succeeded(runner)
	case rs.kind == broken, rs.kind == notRun && isFault(rs.reason):
		rl.ls.Failed(runner)
	}
}

// isFault tells whether a refusal points to a fault of the runner rather than to its load.
func isFault(reason string) bool {
	return strings.HasPrefix(reason, "engine_status_") || strings.HasPrefix(reason, "backend_") || reason == "load_failed"
}

// failed decides whether a request is tried again, or returns true and its final error.
func (ex *execution) failed(ctx context.Context, runner string, rs result) (bool, error) {
	switch rs.kind {
	case gone:
		return true, callerGone(fault.Unknown)
	case timedOut:
		return true, ex.timeout()
	case broken:
		ex.unsure = true
		if ex.an.Begun() && !ex.rq.Stream {
			return true, ex.gaveUp(rs)
		}
		ex.an.Reset()
	case notRun, answered:
	}
	ex.exclude = append(ex.exclude, runner)
	if ex.tries >= retry.MaxAttempts {
		return true, ex.gaveUp(rs)
	}
	if rs.reason != reasonLeaving && !ex.rl.takeRetry() {
		ex.rl.lg.Info().Str("request", ex.rq.ID).Str("reason", "retry_budget_spent").Msg("retry_refused")
		return true, ex.gaveUp(rs)
	}
	wait := retry.Backoff(ex.tries, ex.rl.ls.Random())
	if rs.reason == reasonLeaving {
		wait = 0
	}
	if time.Until(ex.rq.Deadline) <= wait {
		return true, ex.gaveUp(rs)
	}
	select {
	case <-time.After(wait):
		return false, nil
	case <-ctx.Done():
		return true, callerGone(ex.outcome())
	}
}

// callerGone returns the error for a request whose caller went away.
func callerGone(outcome fault.Outcome) error {
	return fault.New(fault.Unavailable, "the caller went away", "send the request again").WithOutcome(outcome)
}

// outcome tells whether any attempt may have run.
func (ex *execution) outcome() fault.Outcome {
	if ex.unsure {
		return fault.Unknown
	}
	return fault.NotRun
}

// gaveUp returns the final error after the last attempt.
func (ex *execution) gaveUp(rs result) error {
	kind := fault.Overloaded
	if ex.unsure {
		kind = fault.OutcomeUnknown
	}
	wait := max(rs.retryAfter, comeBack)
	return fault.New(kind, "no backend server could answer the request ("+rs.reason+")",
		"send the request again later").WithOutcome(ex.outcome()).WithRetryAfter(wait)
}

// timeout returns the error for a request whose time ran out after it was dispatched.
func (ex *execution) timeout() error {
	return fault.New(fault.Timeout, "the request was not answered in its time",
		"allow more time or send it again later").WithOutcome(fault.Unknown).WithRetryAfter(comeBack)
}

// noRunner returns the error for a request that no runner may take.
func (ex *execution) noRunner() error {
	kind := fault.Unavailable
	if ex.unsure {
		kind = fault.OutcomeUnknown
	}
	return fault.New(kind, "no backend server can take the request now",
		"send the request again later").WithOutcome(ex.outcome()).WithRetryAfter(comeBack)
}
