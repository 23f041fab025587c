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

// stop fails the readiness check, takes new connections until the load balancer has
// removed the node, then waits for the requests in flight. Each of them is answered before the stop ends.
func (no *Node) stop(ctx context.Context, sv httpServers) error {
	st := no.drain.begin(time.Now(), time.Duration(no.options.Settings.StopMs)*time.Millisecond)
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Dur("noticed_in", time.Until(st.NoticedAt)).Dur("waits_end_in", time.Until(st.WaitsEndAt)).
		Dur("answers_end_in", time.Until(st.AnswersEndAt)).Dur("ends_in", time.Until(st.ClosedAt)).Msg("entry_draining")
	context.AfterFunc(no.drain.answers, no.logAnswersEnded)
	drainCtx, cancel := context.WithDeadline(ctx, st.ClosedAt)
	defer cancel()
	no.sleep(drainCtx, time.Until(st.NoticedAt))
	no.closeListener()
	no.awaitIdle(drainCtx, func() { sv.callers.SetKeepAlivesEnabled(false) })
	err := sv.callers.Close()
	no.cancel()
	err = errors.CombineErrors(err, errors.CombineErrors(sv.ready.Close(), errors.CombineErrors(sv.peers.Close(), sv.metrics.Close())))
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Msg("entry_stopped")
	return errors.Wrap(err, "direct: close servers")
}

// closeListener takes no new connections of callers. http.Server.Shutdown would drop the requests that it reads from now
// on, and close idle connections on which it has just read one.
func (no *Node) closeListener() {
	if no.callerListener == nil {
		return
	}
	if err := no.callerListener.Close(); err != nil {
		no.logger.Warn().Str("error", err.Error()).Msg("listener_not_closed")
	}
}

// logAnswersEnded logs the number of requests that still ran at the end of answers.
func (no *Node) logAnswersEnded() {
	if count := no.inFlight.Load(); count > 0 {
		no.logger.Info().Int64("in_flight", count).Msg("drain_answers_ended")
	}
}

// awaitIdle ends idle connections, on which a request could arrive that would be cut off, until no request has been in
// flight or about to be read for idleBeforeStop, or the context ends. It calls a function that ends keep-alives while no
// connection is idle, as it closes those on which a request is just being read.
func (no *Node) awaitIdle(ctx context.Context, endKeepAlives func()) {
	ended := false
	for idle := time.Duration(0); idle < idleBeforeStop && ctx.Err() == nil; idle += idlePollPeriod {
		no.waiting.endIdle(time.Now())
		no.sleep(ctx, idlePollPeriod)
		if !ended {
			ended = no.waiting.whileNoneIdle(endKeepAlives)
		}
		if !ended || no.inFlight.Load() > 0 || no.waiting.any(time.Now()) {
			idle = 0
		}
	}
}
