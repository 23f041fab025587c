package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/wire"
)

// executeActions carries out the actions that en, the grant engine, returned.
func (br *Broker) executeActions(ctx context.Context, actions []grant.Action) {
	for _, ac := range actions {
		switch {
		case ac.Grant != nil:
			br.grant(ctx, ac.Grant)
		case ac.Queue != nil:
			br.lg.Info().Str("attempt", ac.Queue.Attempt).Str("reason", ac.Queue.Reason).Str("entry", ac.Queue.Entry).Msg("attempt_queued")
			br.send(ctx, ac.Queue.Entry, &wire.Frame{Queued: &wire.Queued{
				Attempt: ac.Queue.Attempt, Reason: ac.Queue.Reason, Load: br.engineLoad(),
			}})
		case ac.Refuse != nil:
			br.refuse(ctx, ac.Refuse)
		case ac.Order != nil:
			br.order(ctx, *ac.Order)
		case ac.Inspect != nil:
			go func() {
				ob, err := br.eg.Inspect(ctx)
				br.postEvent(ctx, event{inspectionDone: &inspectionResult{observation: ob, err: err}})
			}()
		}
	}
}

// grant informs an entry node that it may send its request to the engine.
func (br *Broker) grant(ctx context.Context, gr *grant.Grant) {
	metricGranted.Add(1)
	br.lg.Debug().Str("attempt", gr.Attempt).Int("version", gr.Version).Str("entry", gr.Entry).Msg("attempt_granted")
	br.send(ctx, gr.Entry, &wire.Frame{Grant: &wire.Grant{Attempt: gr.Attempt, Version: gr.Version, Load: br.engineLoad()}})
}

// refuse informs an entry node that its attempt gets no grant.
func (br *Broker) refuse(ctx context.Context, re *grant.Refuse) {
	metricRefused.Add(1)
	ev := br.lg.Info().Str("attempt", re.Attempt).Str("reason", re.Reason).Dur("retry_after", re.RetryAfter)
	if re.Organisation != "" {
		ev.Str("organisation", re.Organisation).Dur("waited", re.Waited)
	}
	ev.Msg("attempt_refused")
	lo := br.engineLoad()
	br.send(ctx, re.Entry, &wire.Frame{Refusal: &wire.Refusal{
		Attempt: re.Attempt, Reason: re.Reason, RetryAfter: re.RetryAfter.Milliseconds(), Load: &lo,
	}})
}

// order sends an order to the engine in a separate goroutine, which posts the result as an event.
func (br *Broker) order(ctx context.Context, or grant.Order) {
	lo := br.en.Load(time.Now())
	go func() {
		start := time.Now()
		result := br.eg.Order(ctx, or)
		br.lg.Info().Str("operation", or.Operation.String()).Str("model", or.Key.Model).Str("adapter", or.Key.Adapter).
			Int("version", or.Version).Int64("sequence", or.Sequence).Int64("born", or.Born).Str("server", or.Server).Int("waiting", lo.Waiting).
			Str("result", result.String()).Dur("took", time.Since(start)).Msg("order_given")
		br.postEvent(ctx, event{orderResult: &orderResult{order: or, result: result}})
	}()
}

// send sends a frame to an entry node without blocking the broker. A frame to an entry node that is no
// longer connected is dropped.
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

// sendHoldings sends the engine's load and adapters to an entry node if they may have changed since
// the last Holdings frame and that frame was sent long enough ago. It returns when to try again, or
// the zero time if there is nothing left to send.
func (br *Broker) sendHoldings(se *session, now time.Time) time.Time {
	if !se.holdingsStale {
		return time.Time{}
	}
	if due := se.holdingsSentAt.Add(br.holdingsPeriod(se)); now.Before(due) {
		return due
	}
	if se.co.TrySend(&wire.Frame{Holdings: &wire.Holdings{Load: br.engineLoad(), Slots: br.slotReports()}}) {
		se.holdingsStale = false
		se.holdingsSentAt = now
		return time.Time{}
	}
	// The connection's queue is full; the frame is tried again soon, whatever the entry node's zone.
	return now.Add(sameZonePeriod)
}

// engineLoad returns the engine's current load for a frame.
func (br *Broker) engineLoad() wire.EngineLoad {
	lo := br.en.Load(time.Now())
	return wire.EngineLoad{
		Known: lo.Known, Model: lo.Model, Born: lo.Born, Slots: lo.Slots, BacklogMs: lo.Backlog.Milliseconds(),
		Running: lo.Running, Waiting: lo.Waiting, MemoryFree: lo.MemoryFree, Entries: len(br.sessions), Leaving: lo.Leaving,
		Draining: lo.Draining, LoadMs: lo.LoadTime.Milliseconds(), BurstMax: lo.BurstMax, PrefillRate: lo.PrefillRate, BurstRate: lo.BurstRate, EventUs: lo.EventTime.Microseconds(),
	}
}

// slotReports describes the adapters that the engine has loaded or is loading.
func (br *Broker) slotReports() []wire.SlotReport {
	adapters := br.en.Adapters()
	reports := make([]wire.SlotReport, 0, len(adapters))
	for _, as := range adapters {
		state := "loading"
		if as.Ready {
			state = "ready"
		}
		reports = append(reports, wire.SlotReport{
			Adapter: as.Key.Adapter, Version: as.Version, State: state, Pins: as.Pins, Waiting: as.Waiting,
		})
	}
	return reports
}
