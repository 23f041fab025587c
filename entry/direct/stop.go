package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// unreadMax is how long after it was opened the first request of a connection is expected.
const unreadMax = time.Second

// unreadConns holds the connections of callers on which no request has been read yet. The zero value is empty.
type unreadConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// record records the state of a connection.
func (uc *unreadConns) record(nc net.Conn, state http.ConnState) {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	if state != http.StateNew {
		delete(uc.since, nc)
		return
	}
	if uc.since == nil {
		uc.since = map[net.Conn]time.Time{}
	}
	uc.since[nc] = time.Now()
}

// any reports whether a request may be about to be read on a connection that was opened within unreadMax.
func (uc *unreadConns) any(now time.Time) bool {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	for _, since := range uc.since {
		if now.Sub(since) < unreadMax {
			return true
		}
	}
	return false
}

// stop fails the readiness check, keeps serving for balancerNoticeTime so that the load balancer
// removes the node, then waits for the requests in flight. Each of them is answered before the stop ends.
func (no *Node) stop(ctx context.Context, sv httpServers) error {
	now := time.Now()
	deadline := now.Add(time.Duration(no.options.Settings.StopMs)*time.Millisecond - stopMargin)
	no.drain.begin(now, deadline)
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Dur("waits_end_in", time.Until(no.drain.waitsUntil(deadline))).
		Dur("ends_in", time.Until(deadline)).Msg("entry_draining")
	context.AfterFunc(no.drain.waits, func() { no.logDrain("drain_waits_ended") })
	context.AfterFunc(no.drain.answers, func() { no.logDrain("drain_answers_ended") })
	no.sleep(ctx, balancerNoticeTime)
	drainCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	no.closeIdleCallers(sv.callers)
	no.awaitIdle(drainCtx)
	err := sv.callers.Close()
	no.cancel()
	err = errors.CombineErrors(err, errors.CombineErrors(sv.ready.Close(), errors.CombineErrors(sv.peers.Close(), sv.metrics.Close())))
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Msg("entry_stopped")
	return errors.Wrap(err, "direct: close servers")
}

// closeIdleCallers takes no new connections of callers, and closes those without a request: a request that arrived on
// one later would be cut off. http.Server.Shutdown would drop the requests that it reads from now on, too.
func (no *Node) closeIdleCallers(callers *http.Server) {
	if no.callerListener != nil {
		if err := no.callerListener.Close(); err != nil {
			no.logger.Warn().Str("error", err.Error()).Msg("listener_not_closed")
		}
	}
	callers.SetKeepAlivesEnabled(false)
}

// logDrain logs a stage of the drain with the number of requests that it finds.
func (no *Node) logDrain(event string) {
	if count := no.inFlight.Load(); count > 0 {
		no.logger.Info().Int64("in_flight", count).Msg(event)
	}
}

// awaitIdle waits until no request has been in flight or about to be read for idleBeforeStop, or the context ends.
func (no *Node) awaitIdle(ctx context.Context) {
	for idle := time.Duration(0); idle < idleBeforeStop && ctx.Err() == nil; idle += idlePollPeriod {
		no.sleep(ctx, idlePollPeriod)
		if no.inFlight.Load() > 0 || no.unread.any(time.Now()) {
			idle = 0
		}
	}
}
