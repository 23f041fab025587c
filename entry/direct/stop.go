package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// unreadMax is how long after it was opened the first request of a connection is expected.
	unreadMax = time.Second
	// idleEndTime is how long idle connections have to end by themselves.
	idleEndTime = 200 * time.Millisecond
)

// waitingConns holds the connections of callers that wait for a request: their first one, or the next one. The zero
// value is empty.
type waitingConns struct {
	mu sync.Mutex
	// unread holds those without a first request by the time at which they were opened.
	unread map[net.Conn]time.Time
	// idle holds those between two requests by the time since which they are. They stay so until the head of the next
	// request has been read.
	idle map[net.Conn]time.Time
}

// record records the state of a connection.
func (wc *waitingConns) record(nc net.Conn, state http.ConnState) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	if wc.unread == nil {
		wc.unread, wc.idle = map[net.Conn]time.Time{}, map[net.Conn]time.Time{}
	}
	delete(wc.unread, nc)
	delete(wc.idle, nc)
	switch state {
	case http.StateNew:
		wc.unread[nc] = time.Now()
	case http.StateIdle:
		wc.idle[nc] = time.Now()
	case http.StateActive, http.StateHijacked, http.StateClosed:
	}
}

// endIdle makes connections end by themselves that have been idle for a time. A request that has been read on one by then
// is still served.
func (wc *waitingConns) endIdle(now time.Time, idleFor time.Duration) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	for nc, since := range wc.idle {
		if now.Sub(since) >= idleFor {
			// A connection that has ended meanwhile needs no deadline.
			_ = nc.SetReadDeadline(now)
		}
	}
}

// any reports whether a request may be about to be read: on a connection that was opened within unreadMax, or on an idle one.
func (wc *waitingConns) any(now time.Time) bool {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	for _, since := range wc.unread {
		if now.Sub(since) < unreadMax {
			return true
		}
	}
	return len(wc.idle) > 0
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
	no.closeIdleCallers(drainCtx)
	no.awaitIdle(drainCtx)
	err := sv.callers.Close()
	no.cancel()
	err = errors.CombineErrors(err, errors.CombineErrors(sv.ready.Close(), errors.CombineErrors(sv.peers.Close(), sv.metrics.Close())))
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Msg("entry_stopped")
	return errors.Wrap(err, "direct: close servers")
}

// closeIdleCallers takes no new connections of callers, and ends those without a request: a request that arrived on
// one later would be cut off. http.Server.Shutdown would drop the requests that it reads from now on, and close idle
// connections on which it has just read one, as SetKeepAlivesEnabled does.
func (no *Node) closeIdleCallers(ctx context.Context) {
	if no.callerListener != nil {
		if err := no.callerListener.Close(); err != nil {
			no.logger.Warn().Str("error", err.Error()).Msg("listener_not_closed")
		}
	}
	no.waiting.endIdle(time.Now(), 0)
	no.sleep(ctx, idleEndTime)
}

// logDrain logs a stage of the drain with the number of requests that it finds.
func (no *Node) logDrain(event string) {
	if count := no.inFlight.Load(); count > 0 {
		no.logger.Info().Int64("in_flight", count).Msg(event)
	}
}

// awaitIdle waits until no request has been in flight or about to be read for idleBeforeStop, or the context ends. Connections
// that become idle meanwhile, as their last answer had begun before the stop and did not tell that they close, are ended.
func (no *Node) awaitIdle(ctx context.Context) {
	for idle := time.Duration(0); idle < idleBeforeStop && ctx.Err() == nil; idle += idlePollPeriod {
		no.sleep(ctx, idlePollPeriod)
		no.waiting.endIdle(time.Now(), idlePollPeriod)
		if no.inFlight.Load() > 0 || no.waiting.any(time.Now()) {
			idle = 0
		}
	}
}
