package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/entry/internal/conns"
)

// callerLimits bounds how long a stop waits for requests. The first request of a connection that the load balancer has just
// opened is about to come.
var callerLimits = conns.Limits{Idle: 300 * time.Millisecond, Unread: time.Second}

// stop fails the readiness check, takes new connections until the load balancer has
// removed the node, then waits for the requests in flight. Each of them is answered before the stop ends.
func (no *Node) stop(ctx context.Context, sv httpServers) error {
	st := no.drain.begin(time.Now(), time.Duration(no.options.Settings.StopMs)*time.Millisecond)
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Dur("noticed_in", time.Until(st.NoticedAt)).Dur("waits_end_in", time.Until(st.UnknownEndAt)).
		Dur("answers_end_in", time.Until(st.AnswersEndAt)).Dur("ends_in", time.Until(st.ClosedAt)).Msg("entry_draining")
	context.AfterFunc(no.drain.answers, no.logAnswersEnded)
	drainCtx, cancel := context.WithDeadline(ctx, st.ClosedAt)
	defer cancel()
	no.sleep(drainCtx, time.Until(st.NoticedAt))
	no.closeListener()
	left := no.callers.Drain(drainCtx)
	err := sv.callers.Close()
	no.cancel()
	err = errors.CombineErrors(err, errors.CombineErrors(sv.ready.Close(), errors.CombineErrors(sv.peers.Close(), sv.metrics.Close())))
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Int("unread", left.Unread).Int("idle", left.Idle).Int("active", left.Active).Msg("entry_stopped")
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
		return
	}
	// Until its server has ended, it would close the listener once more, which fails.
	<-no.callersEnded
}

// logAnswersEnded logs the number of requests that still ran at the end of answers.
func (no *Node) logAnswersEnded() {
	if count := no.inFlight.Load(); count > 0 {
		no.logger.Info().Int64("in_flight", count).Msg("drain_answers_ended")
	}
}
