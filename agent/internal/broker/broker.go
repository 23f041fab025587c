package broker

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/agent/internal/client"
	"github.com/bambooladder/bambooladder/agent/internal/output"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/runs"
	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	eventsMax    = 1024
	tickPeriod   = 100 * time.Millisecond
	reportPeriod = time.Second
	checkPeriod  = 2 * time.Second
	// orphanMax is how long a request runs on without a connection of its entry node.
	orphanMax = 10 * time.Second
	// deliverMax is how long a drain waits for an answer to be acknowledged.
	deliverMax = 5 * time.Second
	// keepAnswer is how long the answer to a claimed call is held for a replay.
	keepAnswer = 10 * time.Minute
)

// attempt is a request that the agent accepted.
type attempt struct {
	di      *wire.Dispatch
	out     *output.Output
	cancel  context.CancelFunc
	endedAt time.Time
}

// Broker owns the state of the agent.
type Broker struct {
	as       conf.AgentSettings
	boot     string
	cl       *client.Client
	lg       zerolog.Logger
	events   chan event
	sc       *sched.Scheduler
	ta       *runs.Table
	attempts map[string]*attempt
	sessions map[Session]uint64

	engineBoot string
	// inspecting is true while an inspection is under way; one at a time keeps their
	// answers in order.
	inspecting bool
	sequence   uint64
	changed    bool
	reportAt   time.Time
	checkAt    time.Time
	drained    chan struct{}
}

// NewBroker returns the broker of an agent's boot.
func NewBroker(as conf.AgentSettings, boot string, cl *client.Client, lg zerolog.Logger) *Broker {
	slots := as.Slots
	if as.Kind == conf.AgentSettingsKindService {
		slots = 0
	}
	return &Broker{
		as: as, boot: boot, cl: cl, lg: lg, events: make(chan event, eventsMax),
		sc:       sched.New(sched.Settings{Boot: boot, Slots: slots, Places: as.BatchPlaces}),
		ta:       runs.NewTable(boot),
		attempts: map[string]*attempt{}, sessions: map[Session]uint64{},
	}
}

// Welcome describes the backend server to an entry node.
func (br *Broker) Welcome() *wire.Welcome {
	return &wire.Welcome{
		Runner: br.as.Place.Name, Boot: br.boot, Zone: br.as.Place.Zone, Region: br.as.Place.Region,
		Model: br.as.Model, Services: br.as.Services, Slots: br.as.Slots, BatchPlaces: br.as.BatchPlaces,
		Resumes: br.as.Resumes,
	}
}

// Opened takes a new connection.
func (br *Broker) Opened(ctx context.Context, se Session) {
	br.post(ctx, event{opened: &sessionOpened{se: se}})
}

// Closed takes the loss of a connection.
func (br *Broker) Closed(ctx context.Context, se Session) {
	br.post(ctx, event{closed: &sessionClosed{se: se}})
}

// Frame takes a frame of an entry node.
func (br *Broker) Frame(ctx context.Context, se Session, fr *wire.Frame) {
	br.post(ctx, event{frame: &sessionFrame{se: se, fr: fr}})
}

// LogTime takes a time read off the log, in Unix milliseconds.
func (br *Broker) LogTime(ctx context.Context, millis int64) { br.post(ctx, event{logTime: millis}) }

// Leave refuses new work and waits until every accepted request was answered.
func (br *Broker) Leave(ctx context.Context) {
	drained := make(chan struct{})
	br.post(ctx, event{leave: &leaveAsked{drained: drained}})
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

// post queues an event.
func (br *Broker) post(ctx context.Context, ev event) {
	select {
	case br.events <- ev:
	case <-ctx.Done():
	}
}

// Run handles events until the context ends.
func (br *Broker) Run(ctx context.Context) {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	br.act(ctx, br.sc.Tick(time.Now()))
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-br.events:
			br.handle(ctx, ev)
		case <-tick.C:
			br.tick(ctx)
		}
		br.report()
		br.checkDrained()
	}
}

// handle passes one event to the decisions.
func (br *Broker) handle(ctx context.Context, ev event) {
	now := time.Now()
	switch {
	case ev.opened != nil:
		br.sessions[ev.opened.se] = 0
		br.reportAt = time.Time{}
		br.changed = true
	case ev.closed != nil:
		br.detach(ev.closed.se, now)
	case ev.frame != nil:
		br.frame(ctx, ev.frame.se, ev.frame.fr, now)
	case ev.ended != nil:
		br.ended(ctx, ev.ended, now)
	case ev.loaded != nil:
		br.changed = true
		br.loaded(ctx, ev.loaded, now)
	case ev.dropped != nil:
		br.changed = true
		br.act(ctx, br.sc.UnloadEnded(ev.dropped.handle, ev.dropped.result, now))
		br.seeBoot(ctx, ev.dropped.boot, now)
	case ev.held != nil:
		br.inspected(ctx, ev.held, now)
	case ev.leave != nil:
		br.drained = ev.leave.drained
		br.changed = true
		br.act(ctx, br.sc.StopAccepting())
	case ev.logTime > 0:
		br.ta.AdvanceLogTime(ev.logTime)
	}
}

// tick advances time.
func (br *Broker) tick(ctx context.Context) {
	now := time.Now()
	br.act(ctx, br.sc.Tick(now))
	if br.as.Kind == conf.AgentSettingsKindEngine && !now.Before(br.checkAt) {
		br.checkAt = now.Add(checkPeriod)
		br.act(ctx, br.sc.Reinspect(now))
	}
	for name, at := range br.attempts {
		br.expire(name, at, now)
	}
}

// expire drops answers that were delivered and cancels requests whose entry node is gone.
func (br *Broker) expire(name string, at *attempt, now time.Time) {
	since := at.out.DetachedSince()
	orphan := !since.IsZero() && now.Sub(since) > orphanMax
	switch {
	case at.endedAt.IsZero() && orphan && at.di.ClaimedAt == 0:
		br.withdraw(name, now)
	case at.endedAt.IsZero():
	case at.di.ClaimedAt > 0:
		if now.Sub(at.endedAt) > keepAnswer {
			delete(br.attempts, name)
		}
	case at.out.Delivered(), now.Sub(at.endedAt) > runs.UnclaimedRetention:
		delete(br.attempts, name)
	}
}

// detach marks the answers of a lost connection.
func (br *Broker) detach(se Session, now time.Time) {
	delete(br.sessions, se)
	for _, at := range br.attempts {
		at.out.Detach(se, now)
	}
}

// loaded takes the result of a load; one from another boot of the engine proves nothing.
func (br *Broker) loaded(ctx context.Context, od *orderDone, now time.Time) {
	result := od.result
	if result == sched.Done && od.boot != br.engineBoot {
		result = sched.Lost
	}
	br.act(ctx, br.sc.LoadEnded(od.handle, result, now))
	br.seeBoot(ctx, od.boot, now)
}

// seeBoot asks for an inspection when an answer came from another boot of the engine.
func (br *Broker) seeBoot(ctx context.Context, boot string, now time.Time) {
	if boot != "" && boot != br.engineBoot {
		br.act(ctx, br.sc.Reinspect(now))
	}
}

// inspected takes what the engine holds.
func (br *Broker) inspected(ctx context.Context, in *inspected, now time.Time) {
	br.inspecting = false
	if in.err != nil {
		br.lg.Warn().Str("error", in.err.Error()).Msg("inspection_failed")
		return
	}
	if in.iv.Boot != br.engineBoot {
		br.lg.Info().Str("engine_boot", in.iv.Boot).Str("earlier_boot", br.engineBoot).Msg("engine_started")
		br.engineBoot = in.iv.Boot
		br.act(ctx, br.sc.EngineRestarted(now))
		br.changed = true
	}
	held := make([]sched.Held, 0, len(in.iv.Held))
	for _, he := range in.iv.Held {
		held = append(held, sched.Held{Handle: he.Handle, Running: he.Running, Ready: he.Ready})
	}
	br.act(ctx, br.sc.InspectionDone(held, in.iv.Fence, now))
}

// checkDrained ends the drain once every accepted request was answered.
func (br *Broker) checkDrained() {
	if br.drained == nil || br.sc.Running() > 0 || br.sc.Waiting() > 0 {
		return
	}
	now := time.Now()
	for _, at := range br.attempts {
		attached := at.out.DetachedSince().IsZero()
		if !at.out.Delivered() && attached && now.Sub(at.endedAt) < deliverMax {
			return
		}
	}
	close(br.drained)
	br.drained = nil
}
