package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// connectTimeout limits the wait for a connection to a backend server.
	connectTimeout = 500 * time.Millisecond
	// minConnsPerServer is the lowest allowed limit on this node's connections to one server.
	minConnsPerServer = 8
	// maxUrgency is the urgency of routes with rank zero.
	maxUrgency = 9
)

// makeAttempt runs one attempt and reports whether an answer was delivered. Requests to
// engines need a grant first, unless the engine's agent is unavailable.
func (rq *request) makeAttempt(ctx context.Context, at *attempt) (result, bool) {
	defer rq.no.recordAttemptEnd(at.server)
	ctx, stop := rq.no.crashes.watchParts(ctx, rq, at)
	defer stop()
	if re, ok := rq.awaitServer(ctx, at); !ok {
		return re, false
	}
	// An answer that breaks off midway ends the handler with a panic.
	re, delivered := result{outcome: retry.Unknown}, false
	defer func() { rq.release(at, re) }()
	re, delivered = rq.send(ctx, at)
	if re.outcome == retry.Unsent {
		rq.no.recordUnsent(at.server)
	}
	return re, delivered
}

// awaitServer waits until the attempt may be sent, and reports whether it may.
func (rq *request) awaitServer(ctx context.Context, at *attempt) (result, bool) {
	ctx, endWait := rq.no.drain.boundWait(ctx, rq.terms())
	defer endWait()
	if re, ok := rq.takeLease(ctx, at); !ok {
		return re, false
	}
	if at.choice.Reason == spread.PlainService || at.choice.Reason == spread.AgentUnavailable {
		return result{}, true
	}
	re, ok := rq.reserve(ctx, at)
	if !ok {
		rq.no.recordUnsent(at.server)
	}
	return re, ok
}

// reserve requests a grant for the attempt and reports whether it was given.
func (rq *request) reserve(ctx context.Context, at *attempt) (result, bool) {
	versionMin := rq.versionMin(time.Now())
	budget := rq.goals().WaitBudget(time.Until(rq.no.drain.latestStart(rq.terms())))
	if rq.stream.endCounts {
		budget = min(budget, confirmWaitMax)
	}
	gr := rq.no.agents.reserve(ctx, at.server, wire.Reserve{
		Attempt: at.id, Model: rq.info.Model, Adapter: rq.info.Adapter, Version: at.version, VersionRequired: versionMin > 0 && versionMin == at.version, VersionMin: versionMin,
		Urgency: maxUrgency - rq.rank, Organisation: rq.organisationName(), Goal: rq.goal(time.Now()), PromptTokens: rq.info.PromptTokens, OutputTokens: rq.info.OutputTokens,
		PauseMax: rq.route.PauseMax.Milliseconds(), Budget: budget.Milliseconds(), BacklogMax: rq.backlogMax(at).Milliseconds(),
	})
	rq.redirected = rq.redirected || gr.reason == grant.ReasonEngineBusy
	if !gr.granted {
		return result{outcome: retry.Unsent, reason: gr.reason, retryDelay: gr.retryAfter}, false
	}
	histogram(histogramGrant).record(gr.took)
	at.granted = true
	at.grantWait = gr.took
	at.version = gr.version
	reason := ""
	switch {
	case !rq.no.acceptsRequests(at.server):
		reason = reasonServerDeclines
	case rq.no.crashes.verdict(rq) != nil:
		reason = reasonQuarantined
	case at.version < rq.versionMin(time.Now()):
		reason = reasonVersionOutdated
	default:
		return result{}, true
	}
	rq.no.agents.release(at.id, wire.ReleaseEndingWithdrawn, 0)
	return result{outcome: retry.Unsent, reason: reason}, false
}

// versionMin returns the oldest version of the request's adapter that may still be used, zero for any.
func (rq *request) versionMin(now time.Time) int {
	_, oldest := rq.no.view.version(rq.info.adapterKey(), rq.no.versionSettleTime(), now)
	return oldest
}

// backlogMax returns the backlog beyond which the agent refuses the attempt because another engine
// is a better choice, zero for no limit. A request is redirected once at most.
func (rq *request) backlogMax(at *attempt) time.Duration {
	if rq.redirected {
		return 0
	}
	return at.choice.BacklogMax
}

// release returns the attempt's grant, if it has one, to the agent.
func (rq *request) release(at *attempt, re result) {
	if !at.granted {
		return
	}
	ending := wire.ReleaseEndingDone
	switch {
	case re.outcome == retry.NotRun && re.reason == Misdirected.String():
		ending = wire.ReleaseEndingMissing
	case re.outcome == retry.Unknown && re.reason != reasonEndNotConfirmed:
		ending = wire.ReleaseEndingLost
	}
	rq.no.agents.release(at.id, ending, at.longestPause)
}

// send forwards the request to the attempt's server and delivers the answer. It reports
// whether an answer was delivered.
func (rq *request) send(ctx context.Context, at *attempt) (result, bool) {
	no := rq.no
	co, err := rq.connect(ctx, at)
	if err != nil {
		reason := "connection_failed"
		if errors.Is(err, pool.ErrConnectionLimit) {
			reason = "connections_used_up"
		} else if ctx.Err() == nil {
			no.recordUnreachable(at.server)
		}
		return result{outcome: retry.Unsent, reason: reason}, false
	}
	at.conn, at.connection, at.reused = co, co.Number, co.Reused
	rq.connections = append(rq.connections, co.Number)
	if re, ok := rq.confirmRun(ctx, at); !ok {
		return re, false
	}
	if !rq.checkStart(0, time.Now()) {
		co.PutBack()
		return result{outcome: retry.Unsent, reason: reasonNodeStopping}, false
	}
	if rq.recheckKey() {
		co.PutBack()
		return result{outcome: retry.Unsent, reason: reasonKeyWithdrawn}, false
	}
	at.sentAt, at.goesOn = time.Now(), rq.goesOn()
	fi := &ForwardInfo{Server: at.server, TimeLeft: time.Until(rq.deadline), Rank: rq.rank, LastEvent: rq.lastEventID(), Identified: rq.identified, Organisation: rq.organisationName()}
	if rq.info.Adapter != "" {
		fi.Version = at.version
	}
	ctx, stop := rq.watchServer(ctx, at)
	defer stop()
	an, err := co.Do(ctx, &pool.Request{
		Method: rq.method, Target: rq.target, Host: rq.hostHeader, Body: rq.body,
		Header: no.options.Protocol.Header(rq.header, &rq.info, fi),
	}, func(hd http.Header) bool { return no.options.Protocol.MatchesRequest(hd, &rq.info, at.reused) })
	if err != nil {
		return rq.classifySendError(ctx, at, err), false
	}
	defer an.Close()
	if an.SkippedCount > 0 {
		rq.logAttempt(at, "answers_skipped").Int("skipped", an.SkippedCount).Uint64("connection", at.connection).Int("status", an.Status).Send()
	}
	return rq.handleAnswer(ctx, at, an)
}

// connect returns a connection to the attempt's server. A request that must not run twice
// reuses only a recently used connection, as the server may be about to close an older one. No request is sent
// again on a connection that has carried it: the answer to an earlier attempt may come there a second time, and
// bears the same ID.
func (rq *request) connect(ctx context.Context, at *attempt) (*pool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return rq.no.pool.Get(ctx, at.address, rq.connWant())
}

// connWant describes the connection that the request needs.
func (rq *request) connWant() pool.Want {
	return pool.Want{RecentlyUsed: !rq.route.Repeatable(), Limit: rq.connLimit(), Except: rq.connections}
}

// connLimit returns the limit of this node's connections to one server of the service, zero for none. The service's limit
// applies to the connections of all entry nodes together.
func (rq *request) connLimit() int {
	if rq.service.ConnsMax == 0 {
		return 0
	}
	return max(minConnsPerServer, rq.service.ConnsMax/rq.no.agents.entryCount())
}

// classifySendError determines whether the request may have run after sending it or reading its
// answer failed. It counts a failure of the server unless the caller has disconnected.
func (rq *request) classifySendError(ctx context.Context, at *attempt, err error) result {
	se := &pool.SendError{}
	outcome := retry.Unknown
	if errors.As(err, &se) && !se.Written {
		outcome = retry.Unsent
	}
	reason, callerGone := "connection_lost", false
	switch {
	case stopsNode(ctx):
		rq.logCut(at)
		return result{outcome: outcome, reason: reasonNodeStopping}
	case errors.Is(context.Cause(ctx), errPartRefused):
		return rq.canceledForPart(at, outcome)
	case errors.Is(context.Cause(ctx), errStreamStalled):
		return rq.canceledForStall(at)
	case errors.Is(context.Cause(ctx), errServerSilent):
		reason = "server_silent"
	case errors.Is(context.Cause(ctx), context.Canceled):
		reason, callerGone = reasonCallerGone, true
	case ctx.Err() != nil:
		reason = "time_over"
	case errors.Is(err, pool.ErrHeadTooLong):
		reason = "head_too_long"
	case errors.Is(err, reply.ErrInvalid):
		reason = "head_invalid"
		metricInvalidAnswers.Add(1)
	}
	if !callerGone {
		rq.no.recordFailure(at.server)
	}
	rq.logAttempt(at, "exchange_failed").Str("error", err.Error()).Str("fingerprint", rq.fingerprint()).Int64("born", at.born).Send()
	return result{outcome: outcome, reason: reason, serverLost: outcome == retry.Unknown && !callerGone}
}

// logCut logs an attempt that ends because the node is stopping.
func (rq *request) logCut(at *attempt) {
	metricCut.Add(1)
	ev := rq.no.logger.Info().Str("request", rq.info.ID).Str("attempt", at.id).Str("server", at.server).Str("kind", rq.route.Kind.String()).Dur("read_ago", time.Since(rq.start)).Dur("sent_ago", time.Since(at.sentAt)).
		Int("events", rq.stream.count).Int("output_tokens", rq.info.OutputTokens).Dur("left", rq.timeLeft())
	rq.no.drain.logStage(ev)
	ev.Msg("attempt_cut")
}

// canceledForStall returns the result of an attempt that was canceled because its stream brought nothing any more. Its server
// responds, so that this is no sign of a crash.
func (rq *request) canceledForStall(at *attempt) result {
	rq.no.recordFailure(at.server)
	rq.logAttempt(at, "exchange_canceled").Str("reason", reasonStreamStalled).Str("outcome", retry.Unknown.String()).Str("last_event", rq.lastEventID()).Send()
	return result{outcome: retry.Unknown, reason: reasonStreamStalled}
}

// canceledForPart returns the result of an attempt that was canceled because a part of its prompt crashes
// servers. It counts for nothing against its server.
func (rq *request) canceledForPart(at *attempt, outcome retry.Outcome) result {
	rq.logAttempt(at, "exchange_canceled").Str("reason", reasonQuarantined).Str("outcome", outcome.String()).Send()
	return result{outcome: outcome, reason: reasonQuarantined}
}

// handleAnswer classifies an answer by its status and headers, and delivers it if it is the
// server's own.
func (rq *request) handleAnswer(ctx context.Context, at *attempt, an *pool.Answer) (result, bool) {
	no := rq.no
	kind := no.options.Protocol.AnswerKind(an.Status, an.Header, at.server)
	demands := Demands{}
	if kind != Foreign && kind != Replaced {
		demands = rq.applyDemands(at, an)
	}
	switch kind {
	case NotRun, Misdirected, Replaced:
		discardBody(an)
		no.correctServerState(at, kind, rq.info.Adapter)
		return result{outcome: retry.NotRun, reason: kind.String(), retryDelay: demands.Pause}, false
	case Foreign:
		no.recordFailure(at.server)
		return result{outcome: retry.Unknown, reason: kind.String()}, false
	case Genuine:
	}
	if rq.route.Kind == paths.Stream && rq.isStream(an) {
		return rq.deliverStream(ctx, at, an)
	}
	if rq.goesOn() && an.Status < http.StatusMultipleChoices {
		discardBody(an)
		no.recordFailure(at.server)
		return result{outcome: retry.Unknown, reason: reasonNoStream}, false
	}
	return rq.deliverBuffered(ctx, at, an)
}
