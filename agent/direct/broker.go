package direct

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	eventsMax = 1024
	// nearPeriod is the time between messages on the engine to entry nodes of the same zone.
	nearPeriod = 100 * time.Millisecond
	// farPeriod is that to entry nodes of other zones, where traffic is paid by volume.
	farPeriod = 300 * time.Millisecond
	// leaveTime is the time for the last refusals to be sent.
	leaveTime = 100 * time.Millisecond
)

// Engine is the agent's engine.
type Engine interface {
	// Inspect asks the engine what it holds.
	Inspect(ctx context.Context) (grant.Observation, error)
	// Order gives an order and returns what became of it.
	Order(ctx context.Context, or grant.Order) grant.Result
}

// session is a connection of an entry node.
type session struct {
	co   *link.Conn
	name string
	near bool
	// toldAt is when the node was last told of the engine; stale is true when something changed since.
	toldAt time.Time
	stale  bool
}

// event is one thing that happened; exactly one field is set.
type event struct {
	opened   *session
	closed   *session
	frame    *sessionFrame
	ordered  *ordered
	observed *observation
	leave    bool
}

// sessionFrame is a frame of an entry node.
type sessionFrame struct {
	se *session
	fr *wire.Frame
}

// ordered is an order with what became of it.
type ordered struct {
	order  grant.Order
	result grant.Result
}

// observation is the answer to an inspection.
type observation struct {
	ob  grant.Observation
	err error
}

// Broker owns the state of the agent.
type Broker struct {
	eg       Engine
	lg       zerolog.Logger
	events   chan event
	en       *grant.Engine
	sessions map[string]*session
	born     int64
	silent   bool
	// bounded is true while bursts of prompts are bounded.
	bounded bool
	boot    string
}

// NewBroker returns the broker of an agent's boot.
func NewBroker(eg Engine, boot string, lg zerolog.Logger) *Broker {
	return &Broker{
		eg: eg, lg: lg, events: make(chan event, eventsMax), en: grant.New(time.Now()),
		sessions: map[string]*session{}, boot: boot,
	}
}

// post queues an event.
func (br *Broker) post(ctx context.Context, ev event) {
	select {
	case br.events <- ev:
	case <-ctx.Done():
	}
}

// Leave refuses those who wait and stops new grants. It does not wait for the given
// ones: requests on the engine go on without the agent.
func (br *Broker) Leave(ctx context.Context) {
	br.post(ctx, event{leave: true})
	select {
	case <-time.After(leaveTime):
	case <-ctx.Done():
	}
}

// Run handles events until the context ends.
func (br *Broker) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-br.events:
			br.handle(ctx, ev)
		case <-timer.C:
			br.act(ctx, br.en.Tick(time.Now()))
		}
		timer.Reset(br.next())
	}
}

// next tells every entry node what is due and returns the time until something is due again.
func (br *Broker) next() time.Duration {
	now := time.Now()
	next := br.en.NextAt(now)
	for _, se := range br.sessions {
		if at := br.tell(se, now); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	br.count()
	return max(time.Millisecond, next.Sub(now))
}

// handle passes one event to the decisions.
func (br *Broker) handle(ctx context.Context, ev event) {
	now := time.Now()
	switch {
	case ev.opened != nil:
		br.sessions[ev.opened.name] = ev.opened
		br.changed()
	case ev.closed != nil:
		if br.sessions[ev.closed.name] == ev.closed {
			delete(br.sessions, ev.closed.name)
			br.en.EntryDisconnected(ev.closed.name, now)
		}
	case ev.frame != nil:
		br.frame(ctx, ev.frame.se, ev.frame.fr, now)
	case ev.ordered != nil:
		br.changed()
		br.act(ctx, br.en.OrderEnded(ev.ordered.order, ev.ordered.result, now))
	case ev.observed != nil:
		br.observed(ctx, ev.observed, now)
	case ev.leave:
		br.changed()
		br.act(ctx, br.en.StopGranting())
	}
}

// observed takes the answer to an inspection.
func (br *Broker) observed(ctx context.Context, ob *observation, now time.Time) {
	if ob.err != nil {
		if !br.silent {
			br.silent = true
			br.changed()
			br.lg.Warn().Str("dependency", "engine").Str("error", ob.err.Error()).Msg("dependency_lost")
		}
		br.act(ctx, br.en.InspectionFailed(now))
		return
	}
	if br.silent {
		br.silent = false
		br.changed()
		br.lg.Info().Str("dependency", "engine").Msg("dependency_regained")
	}
	if ob.ob.Born != br.born {
		br.lg.Info().Int64("born", ob.ob.Born).Int64("earlier_born", br.born).Int64("sequence", ob.ob.Sequence).Msg("engine_started")
		br.born = ob.ob.Born
		br.changed()
	}
	holds, load := br.en.Adapters(), br.en.Load(now)
	br.act(ctx, br.en.InspectionDone(ob.ob, now))
	after := br.en.Load(now)
	if load.Model != after.Model || load.Draining != after.Draining || !sameHolds(holds, br.en.Adapters()) {
		br.changed()
	}
}

// changed marks what every entry node was told as stale.
func (br *Broker) changed() {
	for _, se := range br.sessions {
		se.stale = true
	}
}

// frame handles a frame of an entry node.
func (br *Broker) frame(ctx context.Context, se *session, fr *wire.Frame, now time.Time) {
	switch {
	case fr.Reserve != nil && fr.Reserve.Held:
		br.act(ctx, br.en.RestoreGrant(itemOf(se, fr.Reserve, now), now))
	case fr.Reserve != nil:
		br.act(ctx, br.en.Reserve(itemOf(se, fr.Reserve, now), now))
	case fr.Started != nil:
		br.act(ctx, br.en.Started(fr.Started.Attempt, now))
	case fr.Release != nil:
		br.release(ctx, fr.Release, now)
	case fr.Prepare != nil:
		br.act(ctx, br.en.Prepare(grant.Assignment{
			Model: fr.Prepare.Model, Slots: fr.Prepare.Slots, Server: fr.Prepare.Server, Born: fr.Prepare.Born,
		}, now))
	}
	br.changed()
}

// release ends an attempt.
func (br *Broker) release(ctx context.Context, re *wire.Release, now time.Time) {
	br.lg.Debug().Str("attempt", re.Attempt).Str("ending", string(re.Ending)).Msg("grant_released")
	if re.Ending == wire.ReleaseEndingMissing {
		br.act(ctx, br.en.AdapterNotFound(re.Attempt, now))
		return
	}
	br.act(ctx, br.en.Release(re.Attempt, time.Duration(re.Pause)*time.Millisecond, now))
}

// itemOf returns the request of a frame.
func itemOf(se *session, re *wire.Reserve, now time.Time) grant.Request {
	return grant.Request{
		Attempt: re.Attempt, Entry: se.name, Key: grant.Key{Model: re.Model, Adapter: re.Adapter},
		Version: re.Version, Settled: re.Settled, Urgency: re.Urgency, PromptTokens: re.PromptTokens,
		OutputTokens: re.OutputTokens, PauseMax: time.Duration(re.PauseMax) * time.Millisecond,
		Arrived: now, Deadline: now.Add(time.Duration(re.Budget) * time.Millisecond),
	}
}

// sameHolds tells whether two lists hold the same adapters in the same state.
func sameHolds(aa, bb []grant.AdapterState) bool {
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
