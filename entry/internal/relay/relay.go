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
	// defaultRetryAfter is the least time that a refused caller is told to wait.
	defaultRetryAfter = 500 * time.Millisecond
)

// Relay forwards requests to backend servers and retries failed attempts.
type Relay struct {
	ls *links.Links
	cs *claims.Claims
	cr *crash.Reports
	lg zerolog.Logger

	mu     sync.Mutex
	budget retry.Budget
}

// NewRelay returns a relay that uses the given connections, claims and crash reports.
func NewRelay(ls *links.Links, cs *claims.Claims, cr *crash.Reports, lg zerolog.Logger) *Relay {
	return &Relay{ls: ls, cs: cs, cr: cr, lg: lg}
}

// execution is the state of one request across its attempts.
type execution struct {
	rl *Relay
	rq *Request
	an Answer
	// exclude lists the runners that must not be chosen again.
	exclude []string
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun   bool
	attemptCount int
	// begun is true once the caller has a part of the answer, software is the version of the software of the
	// engine that sent the first one.
	begun    bool
	software string
	// fingerprint identifies a model request, also when the caller sends it again. It is empty
	// for a plain service and for a claimed call.
	fingerprint string
}

// Run runs a request that may run more than once. Unless writing to the caller failed, its error
// is a *fault.Error that states whether the request may have run.
func (rl *Relay) Run(ctx context.Context, rq *Request, an Answer) error {
	rl.addToRetryBudget(rq.RetryPercent)
	ex := &execution{rl: rl, rq: rq, an: an}
	if rq.Service == "" {
		ex.fingerprint = poison.Fingerprint(rq.Adapter, rq.Body)
	}
	for {
		ch, ok := rl.chooseRunner(rq, ex.exclude)
		if !ok {
			return ex.noRunnerError()
		}
		if an.Begun() && !rl.ls.Resumes(ch.Runner) {
			ex.exclude = append(ex.exclude, ch.Runner)
			continue
		}
		id := uuid.Must(uuid.NewV7()).String()
		alone, err := ex.checkQuarantine(ctx, id)
		if err != nil {
			return err
		}
		ex.attemptCount++
		rs := ex.runAttempt(ctx, ch, id, attemptOptions{alone: alone})
		if alone && rs.crashID == "" {
			rl.cr.Clear(context.WithoutCancel(ctx), record.Clear{Fingerprint: ex.fingerprint, Attempt: id, Answered: rs.ending == answered})
		}
		if rs.ending == answered {
			return an.Finish()
		}
		if rs.crashID != "" {
			rl.cr.Report(ctx, record.CrashReport{Fingerprint: ex.fingerprint, Crash: rs.crashID, Attempt: id})
		}
		if final, err := ex.awaitRetry(ctx, ch.Runner, rs); final {
			return err
		}
	}
}

// checkQuarantine returns an error if the request must not run now because engines have crashed
// while they ran it. It returns true if the attempt with the given ID may run the request once,
// alone on its engine, to find out whether it crashes the engine again (the probe).
func (ex *execution) checkQuarantine(ctx context.Context, id string) (bool, error) {
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
		"send the request again later").WithOutcome(ex.outcome()).WithRetryAfter(defaultRetryAfter)
}

// addToRetryBudget adds the share of retries that one request allows to the retry budget.
func (rl *Relay) addToRetryBudget(percent int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.budget.AddRequest(percent)
}

// takeRetry takes a retry from the budget and reports whether one was left.
func (rl *Relay) takeRetry() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.budget.Take()
}

// chooseRunner chooses a runner for a request and logs the choice. It returns false if there is
// none.
func (rl *Relay) chooseRunner(rq *Request, exclude []string) (route.Choice, bool) {
	ch, ok := rl.ls.Choose(rq.routeRequest(exclude))
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
	ev.Str("runner", ch.Runner).Str("reason", string(ch.Reason)).Str("candidates", formatCandidates(ch)).Msg("route_chosen")
	return ch, true
}

// formatCandidates formats the runners that were compared, with their costs, for the log.
func formatCandidates(ch route.Choice) string {
	parts := make([]string, 0, len(ch.Candidates))
	for ix := range ch.CandidateCount {
		ca := ch.Candidates[ix]
		parts = append(parts, ca.Runner+":"+strconv.FormatFloat(ca.Cost, 'f', 3, 64))
	}
	return strings.Join(parts, ",")
}

// attemptOptions are the options of an attempt.
type attemptOptions struct {
	// claimedAt is the log time of the claim in Unix milliseconds, zero without one.
	claimedAt int64
	// alone asks the agent to run no other request on the engine during the attempt.
	alone bool
}

// runAttempt runs the request once on a runner, delivers the answer and records the outcome.
func (ex *execution) runAttempt(ctx context.Context, ch route.Choice, id string, op attemptOptions) result {
	claimedAt := op.claimedAt
	di := ex.rq.newDispatch(id, ch.Boot, claimedAt, ex.an.TokensSent())
	di.Alone = op.alone
	at, err := ex.rl.ls.Dispatch(ctx, ch.Runner, di)
	if err != nil {
		return result{ending: notRun, reason: "no_link"}
	}
	defer at.Close()
	re := newReceiver(at, ex.an, claimedAt)
	re.begun, re.software = ex.begun, ex.software
	rs := re.run(ctx, ex.rq.Deadline)
	if ex.an.Begun() && !ex.begun {
		ex.begun, ex.software = true, re.answeredBy()
	}
	if claimedAt == 0 && (rs.ending == canceled || rs.ending == timedOut || rs.ending == interrupted) {
		at.Cancel(context.WithoutCancel(ctx))
	}
	ex.rl.recordOutcome(ch.Runner, rs)
	ex.rl.lg.Info().Str("request", ex.rq.ID).Str("attempt", id).Str("runner", ch.Runner).
		Str("outcome", rs.ending.String()).Str("reason", rs.reason).Str("software", re.answeredBy()).Msg("attempt_ended")
	return rs
}

// String returns the name of the ending in log lines.
func (en ending) String() string {
	return [...]string{"answered", "not_run", "broken", "timed_out", reasonCallerGone}[en]
}

// recordOutcome counts an answer as a success of the runner. It counts an interrupted attempt,
// and a refusal that points to a fault, as a failure.
func (rl *Relay) recordOutcome(runner string, rs result) {
	switch {
	case rs.ending == answered:
		rl.ls.Succeeded(runner)
	case rs.reason == reasonOtherSoftware:
	case rs.ending == interrupted, rs.ending == notRun && isRunnerFault(rs.reason):
		rl.ls.Failed(runner)
	}
}

// isRunnerFault reports whether the reason of a refusal is a fault of the runner rather than its
// load.
func isRunnerFault(reason string) bool {
	return strings.HasPrefix(reason, "engine_status_") || strings.HasPrefix(reason, "backend_") || reason == "load_failed"
}

// awaitRetry excludes the runner of a failed attempt and waits until the request may be tried
// again. If it must not be tried again, awaitRetry returns true and the final error.
func (ex *execution) awaitRetry(ctx context.Context, runner string, rs result) (bool, error) {
	switch rs.ending {
	case canceled:
		return true, endedError(ctx, fault.Unknown)
	case timedOut:
		ex.mayHaveRun = true
		return true, ex.timeoutError()
	case interrupted:
		ex.mayHaveRun = true
		if ex.an.Begun() && !ex.an.Resumable() {
			return true, ex.finalError(rs)
		}
		ex.an.Reset()
	case notRun, answered:
	}
	ex.exclude = append(ex.exclude, runner)
	if ex.attemptCount >= retry.MaxAttempts {
		return true, ex.finalError(rs)
	}
	if rs.reason != reasonLeaving && !ex.rl.takeRetry() {
		ex.rl.lg.Info().Str("request", ex.rq.ID).Str("reason", "retry_budget_spent").Msg("retry_refused")
		return true, ex.finalError(rs)
	}
	wait := retry.Backoff(ex.attemptCount, ex.rl.ls.Random())
	if rs.reason == reasonLeaving {
		wait = 0
	}
	if time.Until(ex.rq.Deadline) <= wait {
		return true, ex.finalError(rs)
	}
	select {
	case <-time.After(wait):
		return false, nil
	case <-ctx.Done():
		return true, endedError(ctx, ex.outcome())
	}
}
