package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/wire"
)

// Reasons for a missing grant that this node adds to those of the agents.
const (
	reasonNoAgent       = "agent_not_connected"
	reasonAgentSilent   = "agent_silent"
	reasonGrantLate     = "grant_late"
	reasonCallerGone    = "caller_gone"
	reasonServerLeaving = "server_leaving"
	// reasonServerDeclines means that the server has begun to leave or has asked for a pause while the
	// attempt waited for its grant.
	reasonServerDeclines = "server_declines"
	reasonQuarantined    = "quarantined"
	// reasonVersionOutdated means that the time of the granted version of the adapter was over once the grant came.
	reasonVersionOutdated = "version_outdated"
	// reasonNodeStopping means that the attempt ended because this node is stopping.
	reasonNodeStopping = "node_stopping"
)

// releaseSendTimeout is how long the release of an attempt may wait for room in the queue of a connection. A connection on
// which nothing arrives is given up earlier, which ends its grants.
const releaseSendTimeout = 10 * time.Second

// grantResult is the outcome of a reservation.
type grantResult struct {
	granted bool
	version int
	reason  string
	// queued is true if the agent reported that it queued the attempt.
	queued     bool
	retryAfter time.Duration
	took       time.Duration
}

// reserve requests a grant from the agent beside a server and waits for the reply.
func (as *agents) reserve(ctx context.Context, id string, re wire.Reserve) grantResult {
	start := time.Now()
	as.mu.Lock()
	host, ac := as.linkOf(id)
	if ac == nil {
		as.mu.Unlock()
		return grantResult{reason: reasonNoAgent}
	}
	gw := &grantWaiter{server: id, frames: make(chan *wire.Frame, grantFramesBuffer)}
	as.waiting[re.Attempt] = gw
	as.mu.Unlock()
	gr := grantResult{reason: reasonAgentSilent}
	if ac.co.TrySend(&wire.Frame{Reserve: &re}) {
		gr = as.awaitGrant(ctx, gw.frames, time.Duration(re.Budget)*time.Millisecond)
	}
	gr.took = time.Since(start)
	as.mu.Lock()
	delete(as.waiting, re.Attempt)
	if gr.granted {
		as.granted[re.Attempt] = &heldGrant{host: host, re: re}
	}
	if gr.reason == reasonAgentSilent {
		ac.silent = true
	}
	as.mu.Unlock()
	if !gr.granted && gr.reason != reasonNoAgent {
		as.sendRelease(ac, &wire.Release{Attempt: re.Attempt, Ending: wire.ReleaseEndingWithdrawn})
	}
	if gr.reason == reasonAgentSilent {
		as.no.recordUnanswered(id, start)
	}
	return gr
}

// linkOf returns the host and connection of the agent beside a server, or nil if there is no
// connection or the agent does not respond.
func (as *agents) linkOf(id string) (string, *agentConn) {
	for host, server := range as.servers {
		if server != id {
			continue
		}
		if ac := as.working(host); ac != nil {
			return host, ac
		}
	}
	return "", nil
}

// awaitGrant waits for the agent to grant or refuse a reservation. It gives up when the wait
// budget is used up or the context ends, or after agentAnswerTimeout if the agent has not replied at
// all.
func (as *agents) awaitGrant(ctx context.Context, ch chan *wire.Frame, waitBudget time.Duration) grantResult {
	answerTimer := time.NewTimer(agentAnswerTimeout)
	defer answerTimer.Stop()
	lateTimer := time.NewTimer(waitBudget)
	defer lateTimer.Stop()
	queued := false
	for {
		select {
		case <-ctx.Done():
			return grantResult{reason: endReason(ctx), queued: queued}
		case <-lateTimer.C:
			return grantResult{reason: reasonGrantLate, queued: queued}
		case <-answerTimer.C:
			if !queued {
				return grantResult{reason: reasonAgentSilent}
			}
		case fr := <-ch:
			switch {
			case fr.Grant != nil:
				return grantResult{granted: true, version: fr.Grant.Version, queued: queued}
			case fr.Refusal != nil:
				wait := time.Duration(fr.Refusal.RetryAfter) * time.Millisecond
				return grantResult{reason: fr.Refusal.Reason, queued: queued, retryAfter: wait}
			case fr.Queued != nil:
				queued = true
			}
		}
	}
}

// endReason returns why a context has ended before an attempt was sent.
func endReason(ctx context.Context) string {
	if stopsNode(ctx) {
		return reasonNodeStopping
	}
	return reasonCallerGone
}

// sendStarted reports to the agent that the engine has prefilled the prompt of a granted attempt.
func (as *agents) sendStarted(attempt string) {
	as.mu.Lock()
	ac := as.grantingLink(attempt)
	as.mu.Unlock()
	if ac != nil && !ac.co.TrySend(&wire.Frame{Started: &wire.Started{Attempt: attempt}}) {
		as.no.logger.Warn().Str("attempt", attempt).Msg("start_not_sent")
	}
}

// release ends a granted attempt. The argument pause is the longest pause between events of
// its stream, zero if unknown.
func (as *agents) release(attempt string, ending wire.ReleaseEnding, pause time.Duration) {
	as.mu.Lock()
	ac := as.grantingLink(attempt)
	delete(as.granted, attempt)
	as.mu.Unlock()
	re := &wire.Release{Attempt: attempt, Ending: ending, Pause: pause.Milliseconds()}
	if ac != nil {
		as.sendRelease(ac, re)
	}
}

// sendRelease tells an agent that an attempt has ended. If the queue of the connection is full, it waits in the
// background: without the frame, the agent would keep the grant for as long as the connection lasts.
func (as *agents) sendRelease(ac *agentConn, re *wire.Release) {
	if ac.co.TrySend(&wire.Frame{Release: re}) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseSendTimeout)
		defer cancel()
		if err := ac.co.Send(ctx, &wire.Frame{Release: re}); err != nil {
			as.no.logger.Warn().Str("attempt", re.Attempt).Str("error", err.Error()).Msg("release_not_sent")
		}
	}()
}

// grantingLink returns the connection to the agent that granted an attempt, or nil.
func (as *agents) grantingLink(attempt string) *agentConn {
	if hg := as.granted[attempt]; hg != nil {
		return as.links[hg.host]
	}
	return nil
}

// adapterKey returns the key of the adapter that the request names.
func (ri *RequestInfo) adapterKey() grant.Key { return grant.Key{Model: ri.Model, Adapter: ri.Adapter} }
