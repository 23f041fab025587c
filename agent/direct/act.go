package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/wire"
)

// act carries out the actions that a decision returned.
func (br *Broker) act(ctx context.Context, actions []grant.Action) {
	for _, ac := range actions {
		switch {
		case ac.Grant != nil:
			br.grant(ctx, ac.Grant)
		case ac.Queue != nil:
			br.lg.Info().Str("attempt", ac.Queue.Attempt).Str("reason", ac.Queue.Reason).Str("entry", ac.Queue.Entry).Msg("attempt_queued")
			br.send(ctx, ac.Queue.Entry, &wire.Frame{Queued: &wire.Queued{
				Attempt: ac.Queue.Attempt, Reason: ac.Queue.Reason, Load: br.load(),
			}})
		case ac.Refuse != nil:
			br.refuse(ctx, ac.Refuse)
		case ac.Order != nil:
			br.order(ctx, *ac.Order)
		case ac.Inspect != nil:
			go func() {
				ob, err := br.eg.Inspect(ctx)
				br.post(ctx, event{observed: &observation{ob: ob, err: err}})
			}()
		}
	}
}

// grant tells an entry node that it may send.
func (br *Broker) grant(ctx context.Context, gr *grant.Grant) {
	metricGranted.Add(1)
	br.lg.Debug().Str("attempt", gr.Attempt).Int("version", gr.Version).Str("entry", gr.Entry).Msg("attempt_granted")
	br.send(ctx, gr.Entry, &wire.Frame{Grant: &wire.Grant{Attempt: gr.Attempt, Version: gr.Version, Load: br.load()}})
}

// refuse tells an entry node that an attempt gets no grant.
func (br *Broker) refuse(ctx context.Context, re *grant.Refuse) {
	metricRefused.Add(1)
	br.lg.Info().Str("attempt", re.Attempt).Str("reason", re.Reason).Dur("retry_after", re.RetryAfter).Msg("attempt_refused")
	br.send(ctx, re.Entry, &wire.Frame{Refusal: &wire.Refusal{
		Attempt: re.Attempt, Reason: re.Reason, RetryAfter: re.RetryAfter.Milliseconds(),
	}})
}

// order gives an order in a goroutine of its own.
func (br *Broker) order(ctx context.Context, or grant.Order) {
	st := br.en.Load(time.Now())
	go func() {
		start := time.Now()
		result := br.eg.Order(ctx, or)
		br.lg.Info().Str("operation", or.Operation.String()).Str("model", or.Key.Model).Str("adapter", or.Key.Adapter).
			Int("version", or.Version).Int64("sequence", or.Sequence).Int64("born", or.Born).Str("server", or.Server).Int("waiting", st.Waiting).
			Str("result", result.String()).Dur("took", time.Since(start)).Msg("order_given")
		br.post(ctx, event{ordered: &ordered{order: or, result: result}})
	}()
}

// send sends to an entry node without holding up the broker.
func (br *Broker) send(ctx context.Context, entry string, fr *wire.Frame) {
	se := br.sessions[entry]
	if se == nil || se.co.TrySend(fr) {
		return
	}
	go func() {
		if err := se.co.Send(ctx, fr); err != nil {
			br.lg.Warn().Str("entry", entry).Str("error", err.Error()).Msg("frame_not_sent")
		}
	}()
}

// tell sends what the engine holds to an entry node when that is due, and returns when it is due otherwise.
func (br *Broker) tell(se *session, now time.Time) time.Time {
	if !se.stale {
		return time.Time{}
	}
	period := farPeriod
	if se.near {
		period = nearPeriod
	}
	if due := se.toldAt.Add(period); now.Before(due) {
		return due
	}
	if se.co.TrySend(&wire.Frame{Holdings: &wire.Holdings{Load: br.load(), Slots: br.slots()}}) {
		se.stale = false
		se.toldAt = now
		return time.Time{}
	}
	return now.Add(nearPeriod)
}

// load returns the engine's work.
func (br *Broker) load() wire.EngineLoad {
	lo := br.en.Load(time.Now())
	return wire.EngineLoad{
		Known: lo.Known, Model: lo.Model, Born: lo.Born, Slots: lo.Slots, BacklogMs: lo.Backlog.Milliseconds(),
		Running: lo.Running, Waiting: lo.Waiting, MemoryFree: lo.MemoryFree, Entries: len(br.sessions), Leaving: lo.Leaving,
		Draining: lo.Draining, LoadMs: lo.LoadTime.Milliseconds(), BurstMax: lo.BurstMax,
	}
}

// slots returns the adapters on the engine.
func (br *Broker) slots() []wire.SlotReport {
	holds := br.en.Adapters()
	list := make([]wire.SlotReport, 0, len(holds))
	for _, ho := range holds {
		state := "loading"
		if ho.Ready {
			state = "ready"
		}
		list = append(list, wire.SlotReport{
			Adapter: ho.Key.Adapter, Version: ho.Version, State: state, Pins: ho.Pins, Waiting: ho.Waiting,
		})
	}
	return list
}
