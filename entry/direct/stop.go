package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

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
	// Shutdown closes idle connections now, as a request that arrived on one later would be
	// cut off. It is not awaited: it would wait 5 s for connections that have carried no
	// request.
	go func() { _ = sv.callers.Shutdown(drainCtx) }()
	no.awaitIdle(drainCtx)
	err := sv.callers.Close()
	no.cancel()
	err = errors.CombineErrors(err, errors.CombineErrors(sv.ready.Close(), errors.CombineErrors(sv.peers.Close(), sv.metrics.Close())))
	no.logger.Info().Int64("in_flight", no.inFlight.Load()).Msg("entry_stopped")
	return errors.Wrap(err, "direct: close servers")
}

// logDrain logs a stage of the drain with the number of requests that it finds.
func (no *Node) logDrain(event string) {
	if count := no.inFlight.Load(); count > 0 {
		no.logger.Info().Int64("in_flight", count).Msg(event)
	}
}

// awaitIdle waits until no request has been in flight for idleBeforeStop, or the context ends.
func (no *Node) awaitIdle(ctx context.Context) {
	for idle := time.Duration(0); idle < idleBeforeStop && ctx.Err() == nil; idle += idlePollPeriod {
		no.sleep(ctx, idlePollPeriod)
		if no.inFlight.Load() > 0 {
			idle = 0
		}
	}
}
