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
	// idleEndMax bounds the wait for idle connections to end by themselves.
	idleEndMax = time.Second
)

// waitingConns holds the connections of callers that wait for a request: their first one, or the next one. The zero
// value is empty.
type waitingConns struct {
	mu sync.Mutex
	// unread holds those without a first request by the time at which they were opened.
	unread map[net.Conn]time.Time
	// idle holds those between two requests. They stay so until the head of the next request has been read.
	idle map[net.Conn]bool
}

// record records the state of a connection.
func (wc *waitingConns) record(nc net.Conn, state http.ConnState) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	if wc.unread == nil {
		wc.unread, wc.idle = map[net.Conn]time.Time{}, map[net.Conn]bool{}
	}
	delete(wc.unread, nc)
	delete(wc.idle, nc)
	switch state {
	case http.StateNew:
		wc.unread[nc] = time.Now()
	case http.StateIdle:
		wc.idle[nc] = true
	case http.StateActive, http.StateHijacked, http.StateClosed:
	}
}

// endIdle makes idle connections end by themselves. A request that has been read on one by then is still served.
func (wc *waitingConns) endIdle(now time.Time) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	for nc := range wc.idle {
		// A connection that has ended meanwhile needs no deadline.
		_ = nc.SetReadDeadline(now)
	}
}

// whileNoneIdle calls a function unless a connection is idle, and reports whether it did. A connection that becomes idle
// meanwhile waits in record, and reads no request until the function has returned.
func (wc *waitingConns) whileNoneIdle(fn func()) bool {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	if len(wc.idle) > 0 {
		return false
	}
	fn()
	return true
}

// any reports whether a request may be about to be read on a connection that was opened within unreadMax.
func (wc *waitingConns) any(now time.Time) bool {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	for _, since := range wc.unread {
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
	no.closeIdleCallers(drainCtx, sv.callers)
	no.awaitIdle(drainCtx)
	err := sv.callers.Close()
	no.cancel()
	err = errors.CombineErrors(err, errors.CombineErrors(sv.ready.Close(), errors.CombineErrors(sv.peers.Close(), sv.metrics.Close())))
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Msg("entry_stopped")
	return errors.Wrap(err, "direct: close servers")
}

// closeIdleCallers takes no new connections of callers, and ends those without a request: a request that arrived on
// one later would be cut off. http.Server.Shutdown would drop the requests that it reads from now on, and close idle
// connections on which it has just read one. So does SetKeepAlivesEnabled, by which connections end with their present
// answer, so that it is called while none is idle.
func (no *Node) closeIdleCallers(ctx context.Context, callers *http.Server) {
	if no.callerListener != nil {
		if err := no.callerListener.Close(); err != nil {
			no.logger.Warn().Str("error", err.Error()).Msg("listener_not_closed")
		}
	}
	endKeepAlives := func() { callers.SetKeepAlivesEnabled(false) }
	for waited := time.Duration(0); waited < idleEndMax && ctx.Err() == nil; waited += idlePollPeriod {
		no.waiting.endIdle(time.Now())
		no.sleep(ctx, idlePollPeriod)
		if no.waiting.whileNoneIdle(endKeepAlives) {
			return
		}
	}
	endKeepAlives()
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
		if no.inFlight.Load() > 0 || no.waiting.any(time.Now()) {
			idle = 0
		}
	}
}
