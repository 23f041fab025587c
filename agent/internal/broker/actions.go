package broker

import (
	"context"
	"net/http"
	"time"

	"github.com/bambooladder/bambooladder/agent/internal/client"
	"github.com/bambooladder/bambooladder/core/runs"
	"github.com/bambooladder/bambooladder/core/sched"
)

// executeActions carries out the actions that the scheduler returned.
func (br *Broker) executeActions(ctx context.Context, actions []sched.Action) {
	for _, ac := range actions {
		switch {
		case ac.Forward != nil:
			br.forward(ctx, ac.Forward)
		case ac.Refuse != nil:
			br.refuseQueued(ctx, ac.Refuse)
		case ac.Load != nil:
			br.orderLoad(ctx, ac.Load)
		case ac.Unload != nil:
			br.orderUnload(ctx, ac.Unload)
		case ac.Inspect != nil:
			br.startInspection(ctx)
		}
	}
}

// orderLoad orders the engine to load an adapter; the result comes as an event.
func (br *Broker) orderLoad(ctx context.Context, lo *sched.Load) {
	br.stateChanged = true
	br.lg.Info().Str("adapter", lo.Adapter.String()).Str("handle", lo.Handle).Uint64("fence", lo.Fence).
		Int("waiting", br.sc.WaitingFor(lo.Adapter)).Msg("load_ordered")
	go func() {
		start := time.Now()
		result, boot := br.cl.Load(ctx, client.Order{
			Handle: lo.Handle, Adapter: lo.Adapter.Adapter, Version: lo.Adapter.Version, Fence: lo.Fence,
		})
		br.lg.Info().Str("handle", lo.Handle).Int("result", int(result)).Dur("took", time.Since(start)).Msg("load_ended")
		br.postEvent(ctx, event{loadEnded: &orderResult{handle: lo.Handle, result: result, boot: boot}})
	}()
}

// orderUnload orders the engine to unload a handle; the result comes as an event.
func (br *Broker) orderUnload(ctx context.Context, un *sched.Unload) {
	br.stateChanged = true
	br.lg.Info().Str("handle", un.Handle).Uint64("fence", un.Fence).Msg("unload_ordered")
	go func() {
		result, boot := br.cl.Unload(ctx, client.Order{Handle: un.Handle, Fence: un.Fence})
		br.postEvent(ctx, event{unloadEnded: &orderResult{handle: un.Handle, result: result, boot: boot}})
	}()
}

// startInspection asks the engine which handles it holds, unless an inspection is already under way.
func (br *Broker) startInspection(ctx context.Context) {
	if br.inspecting {
		return
	}
	br.inspecting = true
	go func() {
		iv, err := br.cl.Inspect(ctx)
		br.postEvent(ctx, event{inspection: &inspectionResult{iv: iv, err: err}})
	}()
}

// refuseQueued refuses a request that the scheduler removed from its queue or did not accept.
func (br *Broker) refuseQueued(ctx context.Context, re *sched.Refuse) {
	at := br.attempts[re.Attempt]
	if at == nil {
		return
	}
	br.lg.Info().Str("attempt", re.Attempt).Str("request", at.di.Request).Str("reason", re.Reason).Msg("attempt_refused")
	br.refuseAttempt(ctx, at, re.Reason, re.RetryAfter, time.Now())
}

// refuseAttempt removes an attempt that has not run and sends a refusal to its entry node.
func (br *Broker) refuseAttempt(ctx context.Context, at *attempt, reason string, retryAfter time.Duration, now time.Time) {
	attemptID := at.di.Attempt
	br.stateChanged = true
	br.ta.End(attemptID, runs.Refused, now)
	delete(br.attempts, attemptID)
	at.out.Refuse(ctx, reason, retryAfter)
}

// forward sends a request to the backend server in a separate goroutine. An attempt that was voided
// or has ended in the meantime is not sent.
func (br *Broker) forward(ctx context.Context, fo *sched.Forward) {
	at := br.attempts[fo.Attempt]
	if at == nil || !br.ta.Start(fo.Attempt) {
		br.postEvent(ctx, event{forwardEnded: &forwardResult{attempt: fo.Attempt, handle: fo.Handle, outcome: notRun}})
		return
	}
	br.lg.Debug().Str("attempt", fo.Attempt).Str("request", at.di.Request).Str("handle", fo.Handle).Msg("attempt_forwarded")
	requestCtx, cancel := context.WithTimeout(ctx, time.Duration(at.di.Budget)*time.Millisecond)
	at.cancel = cancel
	fw := &forwarding{cl: br.cl, di: at.di, handle: fo.Handle, out: at.out, boot: br.engineBoot, budget: &br.budget}
	go func() {
		defer cancel()
		br.postEvent(ctx, event{forwardEnded: fw.run(requestCtx, ctx)})
	}()
}

// forwardEnded updates the scheduler and the attempt once a forwarded request has ended.
func (br *Broker) forwardEnded(ctx context.Context, res *forwardResult, now time.Time) {
	br.stateChanged = true
	at := br.attempts[res.attempt]
	if at != nil {
		at.endedAt = now
		br.lg.Debug().Str("attempt", res.attempt).Str("request", at.di.Request).Str("reason", res.reason).Msg("attempt_ended")
	}
	switch res.outcome {
	case answered, mayStillRun:
		br.ta.End(res.attempt, runs.Finished, now)
	case notRun, handleNotFound:
		if at != nil {
			br.refuseAttempt(ctx, at, res.reason, refusalRetryAfter, now)
		}
	}
	if res.outcome == handleNotFound || res.outcome == mayStillRun {
		// An engine that has not confirmed the cancellation is treated like one that does not know the
		// handle: the slot gets no more requests until the engine has been inspected.
		br.executeActions(ctx, br.sc.HandleNotFound(res.handle, now))
	}
	if res.outcome == mayStillRun || res.abandoned {
		br.executeActions(ctx, br.sc.RequestAbandoned(res.attempt, now))
	} else {
		br.executeActions(ctx, br.sc.RequestEnded(res.attempt, now))
	}
	br.inspectIfRestarted(ctx, res.boot, now)
}

// statusNotRun reports whether an engine's status code means that it has not run the request, and
// returns the outcome.
func statusNotRun(status int) (forwardOutcome, bool) {
	switch status {
	case http.StatusNotFound:
		return handleNotFound, true
	case http.StatusServiceUnavailable:
		return notRun, true
	}
	return answered, false
}
