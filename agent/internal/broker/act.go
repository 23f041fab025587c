package broker

import (
	"context"
	"net/http"
	"time"

	"github.com/bambooladder/bambooladder/agent/internal/client"
	"github.com/bambooladder/bambooladder/core/runs"
	"github.com/bambooladder/bambooladder/core/sched"
)

// act carries out the actions that a decision returned.
func (br *Broker) act(ctx context.Context, actions []sched.Action) {
	for _, ac := range actions {
		switch {
		case ac.Forward != nil:
			br.forward(ctx, ac.Forward)
		case ac.Refuse != nil:
			br.refuse(ctx, ac.Refuse)
		case ac.Load != nil:
			br.load(ctx, ac.Load)
		case ac.Unload != nil:
			br.unload(ctx, ac.Unload)
		case ac.Inspect != nil:
			br.inspect(ctx)
		}
	}
}

// load gives a load order.
func (br *Broker) load(ctx context.Context, lo *sched.Load) {
	br.changed = true
	br.lg.Info().Str("adapter", lo.Adapter.String()).Str("handle", lo.Handle).Uint64("fence", lo.Fence).
		Int("waiting", br.sc.WaitingFor(lo.Adapter)).Msg("load_ordered")
	go func() {
		start := time.Now()
		result, boot := br.cl.Load(ctx, client.Order{
			Handle: lo.Handle, Adapter: lo.Adapter.Adapter, Version: lo.Adapter.Version, Fence: lo.Fence,
		})
		br.lg.Info().Str("handle", lo.Handle).Int("result", int(result)).Dur("took", time.Since(start)).Msg("load_ended")
		br.post(ctx, event{loaded: &orderDone{handle: lo.Handle, result: result, boot: boot}})
	}()
}

// unload gives an unload order.
func (br *Broker) unload(ctx context.Context, un *sched.Unload) {
	br.changed = true
	br.lg.Info().Str("handle", un.Handle).Uint64("fence", un.Fence).Msg("eviction_ordered")
	go func() {
		result, boot := br.cl.Unload(ctx, client.Order{Handle: un.Handle, Fence: un.Fence})
		br.post(ctx, event{dropped: &orderDone{handle: un.Handle, result: result, boot: boot}})
	}()
}

// inspect asks the engine what it holds.
func (br *Broker) inspect(ctx context.Context) {
	if br.inspecting {
		return
	}
	br.inspecting = true
	go func() {
		iv, err := br.cl.Inspect(ctx)
		br.post(ctx, event{held: &inspected{iv: iv, err: err}})
	}()
}

// refuse answers a request that will not run.
func (br *Broker) refuse(ctx context.Context, re *sched.Refuse) {
	at := br.attempts[re.Attempt]
	if at == nil {
		return
	}
	br.lg.Info().Str("attempt", re.Attempt).Str("request", at.di.Request).Str("reason", re.Reason).Msg("attempt_refused")
	br.refused(ctx, at, re.Reason, re.RetryAfter, time.Now())
}

// refused forgets a request that has not run and tells its entry node.
func (br *Broker) refused(ctx context.Context, at *attempt, reason string, wait time.Duration, now time.Time) {
	name := at.di.Attempt
	br.changed = true
	br.ta.End(name, runs.Refused, now)
	delete(br.attempts, name)
	at.out.Refuse(ctx, reason, wait)
}

// forward sends a request to the backend server in a goroutine of its own.
func (br *Broker) forward(ctx context.Context, fo *sched.Forward) {
	at := br.attempts[fo.Attempt]
	if at == nil || !br.ta.Start(fo.Attempt) {
		br.post(ctx, event{ended: &attemptEnded{attempt: fo.Attempt, handle: fo.Handle, how: notRun}})
		return
	}
	br.lg.Debug().Str("attempt", fo.Attempt).Str("request", at.di.Request).Str("handle", fo.Handle).Msg("attempt_forwarded")
	running, cancel := context.WithTimeout(ctx, time.Duration(at.di.Budget)*time.Millisecond)
	at.cancel = cancel
	fw := &forwarding{cl: br.cl, di: at.di, handle: fo.Handle, out: at.out, boot: br.engineBoot}
	go func() {
		defer cancel()
		br.post(ctx, event{ended: fw.run(running, ctx)})
	}()
}

// ended takes a request off the backend server.
func (br *Broker) ended(ctx context.Context, en *attemptEnded, now time.Time) {
	br.changed = true
	at := br.attempts[en.attempt]
	if at != nil {
		at.endedAt = now
		br.lg.Debug().Str("attempt", en.attempt).Str("request", at.di.Request).Str("reason", en.reason).Msg("attempt_ended")
	}
	switch en.how {
	case answered, doubtful:
		br.ta.End(en.attempt, runs.Finished, now)
	case notRun, noHandle:
		if at != nil {
			br.refused(ctx, at, en.reason, decisionWait, now)
		}
	}
	if en.how == noHandle || en.how == doubtful {
		br.act(ctx, br.sc.HandleNotFound(en.handle, now))
	}
	if en.how == doubtful || en.cut {
		br.act(ctx, br.sc.RequestAbandoned(en.attempt, now))
	} else {
		br.act(ctx, br.sc.RequestEnded(en.attempt, now))
	}
	br.seeBoot(ctx, en.boot, now)
}

// statusNotRun tells whether an engine's status means that it has not run the request.
func statusNotRun(status int) (ending, bool) {
	switch status {
	case http.StatusNotFound:
		return noHandle, true
	case http.StatusServiceUnavailable:
		return notRun, true
	}
	return answered, false
}
