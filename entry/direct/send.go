package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// connectMax bounds the wait for a connection to a backend server.
	connectMax = 500 * time.Millisecond
	// connsMin is the least number of connections to one server that a node may open.
	connsMin = 8
	// urgencyMax is the urgency of routes of rank zero.
	urgencyMax = 9
)

// try makes one attempt and tells whether an answer was delivered.
func (rq *request) try(ctx context.Context, at *attempt) (result, bool) {
	defer rq.no.done(at.server)
	if at.choice.Reason != spread.Plain && at.choice.Reason != spread.Direct {
		if re, ok := rq.reserve(ctx, at); !ok {
			return re, false
		}
	}
	re, done := rq.send(ctx, at)
	rq.release(at, re)
	return re, done
}

// reserve gets a grant for the attempt.
func (rq *request) reserve(ctx context.Context, at *attempt) (result, bool) {
	_, settled := rq.no.be.version(rq.call.keyOf(), rq.no.settleTime(), time.Now())
	budget := spread.Patience(time.Until(rq.until))
	gr := rq.no.agents.reserve(ctx, at.server, wire.Reserve{
		Attempt: at.id, Model: rq.call.Model, Adapter: rq.call.Adapter, Version: at.version, Settled: settled,
		Urgency: urgencyMax - rq.ro.Rank, PromptTokens: rq.call.PromptTokens, OutputTokens: rq.call.OutputTokens,
		PauseMax: rq.ro.PauseMax.Milliseconds(), Budget: budget.Milliseconds(),
	})
	if !gr.granted {
		return result{outcome: retry.Unsent, reason: gr.reason, wait: gr.retryAfter}, false
	}
	histogram(histogramGrant).record(gr.took)
	at.granted = true
	at.grantTook = gr.took
	at.version = gr.version
	if !rq.no.takes(at.server) {
		rq.no.agents.release(at.id, wire.ReleaseEndingWithdrawn, 0)
		return result{outcome: retry.Unsent, reason: reasonLeaving}, false
	}
	return result{}, true
}

// release returns the grant.
func (rq *request) release(at *attempt, re result) {
	if !at.granted {
		return
	}
	ending := wire.ReleaseEndingDone
	switch {
	case re.outcome == retry.NotRun && re.reason == Misdirected.String():
		ending = wire.ReleaseEndingMissing
	case re.outcome == retry.Unknown:
		ending = wire.ReleaseEndingLost
	}
	rq.no.agents.release(at.id, ending, at.pause)
}

// send sends the request to the server of the attempt and delivers its answer.
func (rq *request) send(ctx context.Context, at *attempt) (result, bool) {
	no := rq.no
	co, err := rq.connect(ctx, at)
	if err != nil {
		reason := "connection_failed"
		if errors.Is(err, pool.ErrFull) {
			reason = "connections_used_up"
		} else if ctx.Err() == nil {
			no.unreachable(at.server)
		}
		return result{outcome: retry.Unsent, reason: reason}, false
	}
	left := time.Until(rq.until)
	se := &Sending{Server: at.server, Left: left, Rank: rq.ro.Rank, LastEvent: rq.lastEvent()}
	if rq.call.Adapter != "" {
		se.Version = at.version
	}
	ctx, stop := rq.watch(ctx, at)
	defer stop()
	an, err := co.Do(ctx, &pool.Request{
		Method: rq.method, Target: rq.target, Host: rq.host, Body: rq.body,
		Header: no.op.Protocol.Header(rq.header, &rq.call, se),
	}, func(hd http.Header) bool { return no.op.Protocol.Belongs(hd, &rq.call) })
	if err != nil {
		return rq.sendFailed(ctx, at, err), false
	}
	defer an.Close()
	return rq.judge(ctx, at, an)
}

// connect returns a connection; a request that must not repeat takes none that may be closing.
func (rq *request) connect(ctx context.Context, at *attempt) (*pool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectMax)
	defer cancel()
	limit := 0
	if rq.service.ConnsMax > 0 {
		// The server counts the connections of all nodes together.
		limit = max(connsMin, rq.service.ConnsMax/rq.no.agents.entries())
	}
	return rq.no.pool.Get(ctx, at.address, !rq.ro.Repeatable(), limit)
}

// sendFailed decides what a failed exchange means.
func (rq *request) sendFailed(ctx context.Context, at *attempt, err error) result {
	se := &pool.SendError{}
	outcome := retry.Unknown
	if errors.As(err, &se) && !se.Written {
		outcome = retry.Unsent
	}
	reason := "connection_lost"
	switch {
	case errors.Is(context.Cause(ctx), errServerSilent):
		reason = "server_silent"
	case ctx.Err() != nil:
		reason = "time_over"
	}
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		rq.no.failed(at.server)
	}
	rq.log(at, "exchange_failed").Str("error", err.Error()).Send()
	return result{outcome: outcome, reason: reason}
}

// judge decides what an answer's head means and passes the answer on.
func (rq *request) judge(ctx context.Context, at *attempt, an *pool.Answer) (result, bool) {
	no := rq.no
	verdict := no.op.Protocol.Verdict(an.Status, an.Header, at.server)
	switch verdict {
	case NotRun, Misdirected, Replaced:
		drop(an)
		no.contradicted(at, verdict, rq.call.Adapter)
		return result{outcome: retry.NotRun, reason: verdict.String()}, false
	case Foreign:
		no.failed(at.server)
		return result{outcome: retry.Unknown, reason: verdict.String()}, false
	case Genuine:
	}
	if rq.ro.Kind == paths.Stream && an.Status < http.StatusMultipleChoices {
		return rq.passStream(ctx, at, an)
	}
	return rq.passWhole(ctx, at, an)
}
