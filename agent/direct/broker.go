package direct

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/lease"
	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// eventQueueMax is the number of events that may wait for the broker.
	eventQueueMax = 1024
	// refusalSendTime is how long a drain waits for the last refusals to be sent.
	refusalSendTime = 100 * time.Millisecond
)

// EngineClient sends inspections and orders to the model engine that the agent controls. It is the client of
// that engine; grant.Engine holds what the agent knows about the engine and decides on grants and orders.
type EngineClient interface {
	// Inspect returns the engine's state: its models, adapters, sequence number and memory.
	Inspect(ctx context.Context) (grant.Observation, error)
	// Order sends an order to the engine and returns its outcome.
	Order(ctx context.Context, or grant.Order) grant.Result
}

// event is an input to the broker; exactly one field is set.
type event struct {
	sessionOpened  *session
	sessionClosed  *session
	frameReceived  *sessionFrame
	orderResult    *orderResult
	inspectionDone *inspectionResult
	drain          bool
}

// sessionFrame is a frame that an entry node sent.
type sessionFrame struct {
	se *session
	fr *wire.Frame
}

// orderResult is an order and its outcome.
type orderResult struct {
	order  grant.Order
	result grant.Result
}

// inspectionResult is the engine's answer to an inspection, or the error.
type inspectionResult struct {
	observation grant.Observation
	err         error
}

// Broker owns the state of the agent. Only the goroutine of Run reads or changes that state; other
// goroutines post events to it.
type Broker struct {
	// eg is the client of the model engine; it carries out inspections and the orders that en returns.
	eg     EngineClient
	lg     zerolog.Logger
	events chan event
	// en holds what the agent knows about the model engine and decides on grants and orders; it does not
	// call the model engine itself.
	en *grant.Engine
	// sessions maps the names of the connected entry nodes to their connections.
	sessions map[string]*session
	// otherRegionSessions is the number of them in other regions.
	otherRegionSessions int
	// engineBorn is the start time of the engine process in Unix milliseconds, as last reported.
	engineBorn int64
	// engineSilent is true if the last inspection failed.
	engineSilent bool
	// burstLimited is true while the number of prompt tokens that are granted without a break is
	// limited.
	burstLimited bool
	// engineSlow is true while the engine counts as slow.
	engineSlow bool
	// crashes and parts hold the reports of crashes and of parts that were passed on, for entry nodes
	// that connect later.
	crashes, parts []passedReport
	// buckets holds what may be sent to servers with limits whose entry nodes ask this agent.
	buckets map[poison.Run]lease.Bucket
	// accounts holds the quotas of the organisations whose entry nodes ask this agent.
	accounts quotaAccounts
	// origins holds what began streams of which this agent is a home.
	origins origin.Table
	// history holds the software versions of services, as entry nodes tell.
	history origin.History
	// usesDueAt is when the use of the engine by organisation is published next.
	usesDueAt time.Time
	// boot is the ID of this run of the agent.
	boot string
}

// NewBroker returns the broker for a run of the agent with the given boot ID.
func NewBroker(eg EngineClient, boot string, lg zerolog.Logger) *Broker {
	return &Broker{
		eg: eg, lg: lg, events: make(chan event, eventQueueMax), en: grant.New(time.Now()),
		sessions: map[string]*session{}, buckets: map[poison.Run]lease.Bucket{}, boot: boot,
	}
}

// postEvent queues an event. It blocks while the queue is full, until the context is canceled.
func (br *Broker) postEvent(ctx context.Context, ev event) {
	select {
	case br.events <- ev:
	case <-ctx.Done():
	}
}

// Drain refuses the queued requests, stops giving grants and waits refusalSendTime for the refusals to
// be sent. It does not wait for given grants to be released, because requests at the engine continue
// without the agent.
func (br *Broker) Drain(ctx context.Context) {
	br.postEvent(ctx, event{drain: true})
	select {
	case <-time.After(refusalSendTime):
	case <-ctx.Done():
	}
}

// Run handles events and due work until the context is canceled.
func (br *Broker) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-br.events:
			br.handleEvent(ctx, ev)
		case <-timer.C:
			br.executeActions(ctx, br.en.Tick(time.Now()))
		}
		timer.Reset(br.endRound())
	}
}

// endRound ends a round of the broker: it sends the Holdings and Peers frames that are due, publishes the metrics
// and returns the time until the broker has work again if no event comes.
func (br *Broker) endRound() time.Duration {
	now := time.Now()
	nextWake := br.en.NextAt(now)
	for _, se := range br.sessions {
		for _, at := range [...]time.Time{br.sendHoldings(se, now), br.sendPeers(se, now)} {
			if !at.IsZero() && at.Before(nextWake) {
				nextWake = at
			}
		}
	}
	br.publishMetrics()
	return max(time.Millisecond, nextWake.Sub(now))
}

// handleEvent passes an event to en, which decides on grants and orders, and carries out the resulting
// actions.
func (br *Broker) handleEvent(ctx context.Context, ev event) {
	now := time.Now()
	switch {
	case ev.sessionOpened != nil:
		br.openSession(ctx, ev.sessionOpened, now)
	case ev.sessionClosed != nil:
		if br.sessions[ev.sessionClosed.name] == ev.sessionClosed {
			delete(br.sessions, ev.sessionClosed.name)
			br.accounts.sessionClosed(ev.sessionClosed, now)
			br.sessionsChanged()
			br.en.EntryDisconnected(ev.sessionClosed.name, now)
		}
	case ev.frameReceived != nil:
		br.frameReceived(ctx, ev.frameReceived.se, ev.frameReceived.fr, now)
	case ev.orderResult != nil:
		br.markHoldingsStale()
		br.executeActions(ctx, br.en.OrderEnded(ev.orderResult.order, ev.orderResult.result, now))
	case ev.inspectionDone != nil:
		br.inspectionDone(ctx, ev.inspectionDone, now)
	case ev.drain:
		br.markHoldingsStale()
		br.executeActions(ctx, br.en.StopGranting(now))
	}
}

// openSession handles a new connection of an entry node. An earlier one that has fallen silent may not have been given up
// yet; its end changes nothing any more, so that its grants are marked now. A connection that the entry node gave up before
// its Hello was here replaces no later one.
func (br *Broker) openSession(ctx context.Context, se *session, now time.Time) {
	earlier, replaces := br.sessions[se.name]
	if replaces && earlier.number > se.number {
		br.lg.Info().Str("dependency", "entry").Str("entry", se.name).Msg("late_hello_ignored")
		return
	}
	br.sessions[se.name] = se
	br.accounts.sessionOpened(se)
	br.sessionsChanged()
	br.markHoldingsStale()
	if replaces {
		br.lg.Info().Str("dependency", "entry").Str("entry", se.name).Msg("dependency_replaced")
		br.en.EntryDisconnected(se.name, now)
	}
	br.sendReports(ctx, se, now)
}

// inspectionDone handles the answer to an inspection.
func (br *Broker) inspectionDone(ctx context.Context, ir *inspectionResult, now time.Time) {
	if ir.err != nil {
		if !br.engineSilent {
			br.engineSilent = true
			br.markHoldingsStale()
			br.lg.Warn().Str("dependency", "engine").Str("error", ir.err.Error()).Msg("dependency_lost")
		}
		br.executeActions(ctx, br.en.InspectionFailed(now))
		return
	}
	if br.engineSilent {
		br.engineSilent = false
		br.markHoldingsStale()
		br.lg.Info().Str("dependency", "engine").Msg("dependency_regained")
	}
	if ir.observation.Born != br.engineBorn {
		br.lg.Info().Int64("born", ir.observation.Born).Int64("earlier_born", br.engineBorn).Int64("sequence", ir.observation.Sequence).Msg("engine_started")
		br.engineBorn = ir.observation.Born
		br.markHoldingsStale()
	}
	adaptersBefore, loadBefore := br.en.Adapters(), br.en.Load(now)
	br.executeActions(ctx, br.en.InspectionDone(ir.observation, now))
	loadAfter := br.en.Load(now)
	if loadBefore.Model != loadAfter.Model || loadBefore.Draining != loadAfter.Draining ||
		!sameAdapters(adaptersBefore, br.en.Adapters()) {
		br.markHoldingsStale()
	}
}

// markHoldingsStale makes every entry node get a new Holdings frame once one is due.
func (br *Broker) markHoldingsStale() {
	for _, se := range br.sessions {
		se.holdingsStale = true
	}
}

// sameAdapters reports whether two lists hold the same adapters in the same versions and states.
func sameAdapters(aa, bb []grant.AdapterState) bool {
	if len(aa) != len(bb) {
		return false
	}
	for ix := range aa {
		if aa[ix].Key != bb[ix].Key || aa[ix].Version != bb[ix].Version || aa[ix].Ready != bb[ix].Ready {
			return false
		}
	}
	return true
}
