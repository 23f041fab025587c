package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/entry/internal/conns"
	"github.com/bambooladder/bambooladder/entry/internal/relay"
)

const (
	// answerMargin is how long before the end of a planned stop the requests that are left are answered.
	answerMargin = time.Second
	// operatorsDrainMax bounds the wait for requests of operators and peers. A change waits up to 7 s for the log.
	operatorsDrainMax = 10 * time.Second
)

// endKeepAlives returns a handler whose answers tell, while the node drains, that each is the last one of its connection.
func (co components) endKeepAlives(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if co.Lifetime.draining.Load() {
			wr.Header().Set("Connection", "close")
		}
		ha.ServeHTTP(wr, rq)
	})
}

// stop drains the node: it fails the readiness check, waits for drain_grace_ms so that the load
// balancer removes the node, and then waits for the requests in flight, and those about to be read, to end. Those that
// are left shortly before the end of the stop are answered then. As the stop lasts longer than requests usually may, it
// takes every request that comes.
func (co components) stop(ctx context.Context, callers, operators *server) error {
	co.Lifetime.draining.Store(true)
	co.stopLog(ctx, callers.conns.Counts()).Msg("entry_draining")
	if end, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(end)-answerMargin, func() {
			co.stopLog(ctx, callers.conns.Counts()).Msg("drain_answers_ended")
			co.Lifetime.endRequests(relay.ErrStopping)
		}).Stop()
	}
	select {
	case <-time.After(time.Duration(co.Options.Settings.DrainGraceMs) * time.Millisecond):
	case <-ctx.Done():
	}
	co.stopLog(ctx, callers.conns.Counts()).Msg("drain_grace_ended")
	left := callers.drain(ctx)
	_ = callers.hs.Close()
	co.stopOperators(ctx, operators)
	if left.All() == 0 {
		co.awaitAppends()
	}
	co.Lifetime.cancel()
	co.stopLog(ctx, left).Msg("entry_stopped")
	if left.All() > 0 {
		return errors.Wrap(ctx.Err(), "node: drain")
	}
	return nil
}

// awaitAppends waits until what requests that have ended left to be written is in the log. Each append has a timeout of
// a few seconds.
func (co components) awaitAppends() {
	start := time.Now()
	co.Claims.AwaitDones()
	co.Reports.AwaitClears()
	co.Options.Logger.Info().Dur("took", time.Since(start)).Msg("appends_ended")
}

// stopOperators waits for the requests of operators and peers, and closes their interface. It is open while callers'
// requests end, so that operators see them.
func (co components) stopOperators(ctx context.Context, operators *server) {
	ctx, cancel := context.WithTimeout(ctx, operatorsDrainMax)
	defer cancel()
	if left := operators.drain(ctx); left.Active > 0 {
		co.Options.Logger.Warn().Int("active", left.Active).Msg("operators_cut_off")
	}
	_ = operators.hs.Close()
}

// stopLog returns a log line for a stage of the stop, with the callers' connections that it finds and the time that is left.
func (co components) stopLog(ctx context.Context, cs conns.Counts) *zerolog.Event {
	ev := co.Options.Logger.Info().Int("unread", cs.Unread).Int("idle", cs.Idle).Int("active", cs.Active)
	if end, ok := ctx.Deadline(); ok {
		ev = ev.Dur("ends_in", time.Until(end))
	}
	return ev
}
