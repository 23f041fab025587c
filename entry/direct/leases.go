package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/lease"
	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/core/wire"
)

// reasonServerLimited means that the attempt's server has got as many requests as its limit allows.
const reasonServerLimited = "server_limited"

// takeLease makes sure that the limit of the attempt's server, if it has one, allows the request. It
// asks the agent that keeps the limit, unless this node still has a lease.
func (rq *request) takeLease(ctx context.Context, at *attempt) (result, bool) {
	no := rq.no
	no.mu.Lock()
	ask, taken := no.fleet.TakeLease(at.server, time.Now())
	no.mu.Unlock()
	if taken {
		return result{}, true
	}
	le, answered := no.agents.askLease(ctx, &wire.LeaseQuery{
		Attempt: at.id, Server: at.server, Born: at.born, PerSecond: ask.PerSecond, Count: ask.Count,
	})
	no.mu.Lock()
	defer no.mu.Unlock()
	allowed := false
	if answered {
		allowed = no.fleet.LeaseAnswered(at.server, le, time.Now())
	} else {
		allowed = no.fleet.LeaseUnanswered(at.server, time.Now())
	}
	if !allowed || !answered {
		no.logger.Info().Str("request", rq.info.ID).Str("attempt", at.id).Str("server", at.server).Float64("limit", ask.PerSecond).
			Bool("answered", answered).Bool("allowed", allowed).Dur("wait", le.Wait).Msg("lease_refused")
	}
	return result{outcome: retry.Unsent, reason: reasonServerLimited, retryDelay: le.Wait}, allowed
}

// askLease asks the agent that keeps the limit of a server for a lease. It returns false if no agent
// has answered in time.
func (as *agents) askLease(ctx context.Context, la *wire.LeaseQuery) (lease.Lease, bool) {
	gw := &grantWaiter{server: la.Server, frames: make(chan *wire.Frame, grantFramesBuffer)}
	as.mu.Lock()
	ac := as.limitKeeper(la.Server)
	if ac != nil {
		as.waiting[la.Attempt] = gw
	}
	as.mu.Unlock()
	if ac == nil || !ac.co.TrySend(&wire.Frame{LeaseQuery: la}) {
		return lease.Lease{}, false
	}
	defer func() {
		as.mu.Lock()
		defer as.mu.Unlock()
		delete(as.waiting, la.Attempt)
	}()
	timer := time.NewTimer(agentAnswerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return lease.Lease{}, false
		case <-timer.C:
			return lease.Lease{}, false
		case fr := <-gw.frames:
			if an := fr.LeaseAnswer; an != nil {
				return lease.Lease{Count: an.Count, Wait: time.Duration(an.Wait) * time.Millisecond}, true
			}
			if fr.Refusal != nil {
				// The server is leaving.
				return lease.Lease{}, true
			}
		}
	}
}

// limitKeeper returns the connection to the agent that keeps the limit of a server: the one beside it,
// or for a server without one the first of all. It returns nil if that one does not respond. Another
// one must not take its place for this node alone, as both would hand out the whole limit.
func (as *agents) limitKeeper(server string) *agentConn {
	first := ""
	for host, id := range as.servers {
		if id == server {
			return as.working(host)
		}
		if first == "" || host < first {
			first = host
		}
	}
	return as.working(first)
}

// working returns the connection to the agent on a host, or nil if there is none or it does not respond.
func (as *agents) working(host string) *agentConn {
	if ac := as.links[host]; ac != nil && !ac.silent {
		return ac
	}
	return nil
}
