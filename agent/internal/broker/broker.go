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
	// eventQueueMax is the number of events that may wait for the broker.
	eventQueueMax = 1024
	// tickPeriod is the time between two rounds of deadline checks and scheduling.
	tickPeriod = 100 * time.Millisecond
	// reportPeriod is the time after which a report is sent although nothing has changed.
	reportPeriod = time.Second
	// inspectPeriod is the time after which an engine is inspected again, unless the last inspection is
	// still under way.
	inspectPeriod = 2 * time.Second
	// orphanTimeout is how long an attempt without a claim, that is, without an idempotency key claimed
	// in the log, continues after its entry node has disconnected.
	orphanTimeout = 10 * time.Second
	// deliveryTimeout is how long a drain waits for the acknowledgement of an answer that has ended.
	deliveryTimeout = 5 * time.Second
	// noticeTime is how long a drain lasts at least. Entry nodes that have not learned of it yet, or that have chosen this
	// agent before and wait up to 2 s for the claim of a call, still send requests. They are refused; a request that
	// crosses the end of a link has an unknown outcome.
	noticeTime = 3 * time.Second
	// claimedAnswerRetention is how long the answer to an attempt with a claim is kept after its end,
	// so that an entry node can have it sent again.
	claimedAnswerRetention = 10 * time.Minute
)

// attempt is an attempt of a request that the agent has accepted.
type attempt struct {
	di  *wire.Dispatch
	out *output.Output
	// cancel stops the request at the backend server; it is nil until the request is forwarded.
	cancel context.CancelFunc
	// endedAt is when the request ended, zero before that.
	endedAt time.Time
}

// Broker owns the state of the agent. Only the goroutine of Run reads or changes that state; other
// goroutines post events to it.
type Broker struct {
	as conf.AgentSettings
	// boot is the ID of this run of the agent.
	boot   string
	cl     *client.Client
	lg     zerolog.Logger
	events chan event
	sc     *sched.Scheduler
	// ta decides which attempts may run and remembers those that have ended or were voided; attempts
	// holds the requests and answers of the accepted ones.
	ta       *runs.Table
	attempts map[string]*attempt
	// budget limits the memory of the engine's answers. It may be used in any goroutine.
	budget answerBudget
	// sessions maps each connection to the number of Dispatch frames received on it.
	sessions map[Session]uint64

	// engineBoot identifies the engine process as of the last inspection.
	engineBoot string
	// inspecting is true while an inspection is under way. There is only one at a time, so their
	// answers arrive in order.
	inspecting bool
	// reportSequence is the sequence number of the last report.
	reportSequence uint64
	// stateChanged is true if something that a report contains may have changed since the last one.
	stateChanged     bool
	nextReportAt     time.Time
	nextInspectionAt time.Time
	// drained is closed at the end of a drain, and nil before the drain starts and after its end. drainBegan is when it
	// started.
	drained    chan struct{}
	drainBegan time.Time
}

// NewBroker returns the broker for a run of the agent with the given boot ID.
func NewBroker(as conf.AgentSettings, boot string, cl *client.Client, lg zerolog.Logger) *Broker {
	slots := as.Slots
	if as.Kind == conf.AgentSettingsKindService {
		slots = 0
	}
	return &Broker{
		as: as, boot: boot, cl: cl, lg: lg, events: make(chan event, eventQueueMax),
		sc:       sched.New(sched.Settings{Boot: boot, Slots: slots, Places: as.BatchPlaces}),
		ta:       runs.NewTable(boot),
		attempts: map[string]*attempt{}, sessions: map[Session]uint64{},
	}
}

// Welcome returns the frame that describes the backend server to a new entry node.
func (br *Broker) Welcome() *wire.Welcome {
	return &wire.Welcome{
		Runner: br.as.Place.Name, Boot: br.boot, Zone: br.as.Place.Zone, Region: br.as.Place.Region,
		Model: br.as.Model, Services: br.as.Services, Slots: br.as.Slots, BatchPlaces: br.as.BatchPlaces,
		Resumes: br.as.Resumes,
	}
}

// SessionOpened records a new connection of an entry node.
func (br *Broker) SessionOpened(ctx context.Context, se Session) {
	br.postEvent(ctx, event{opened: &sessionOpened{se: se}})
}

// SessionClosed records that the connection of an entry node was lost.
func (br *Broker) SessionClosed(ctx context.Context, se Session) {
	br.postEvent(ctx, event{closed: &sessionClosed{se: se}})
}

// HandleFrame queues a frame that an entry node sent.
func (br *Broker) HandleFrame(ctx context.Context, se Session, fr *wire.Frame) {
	br.postEvent(ctx, event{frameReceived: &sessionFrame{se: se, fr: fr}})
}

// LogTime advances the agent's log time to the time of a log record, in Unix milliseconds.
func (br *Broker) LogTime(ctx context.Context, millis int64) {
	br.postEvent(ctx, event{logTime: millis})
}

// Drain refuses the queued and all new requests and waits until the entry nodes have learned of it and the requests at
// the backend server have ended and their answers are acknowledged. It returns false if the context is canceled before.
func (br *Broker) Drain(ctx context.Context) bool {
	drained := make(chan struct{})
	br.postEvent(ctx, event{drain: &drainRequest{drained: drained}})
	select {
	case <-drained:
		return true
	case <-ctx.Done():
		return false
	}
}

// postEvent queues an event. It blocks while the queue is full, until the context is canceled.
func (br *Broker) postEvent(ctx context.Context, ev event) {
	select {
	case br.events <- ev:
	case <-ctx.Done():
	}
}

// Run handles events and periodic work until the context is canceled.
func (br *Broker) Run(ctx context.Context) {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	br.executeActions(ctx, br.sc.Tick(time.Now()))
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-br.events:
			br.handle(ctx, ev)
		case <-tick.C:
			br.tick(ctx)
		}
		br.sendReports()
		br.checkDrained()
	}
}

// handle passes an event to the scheduler or to ta and carries out the resulting actions.
func (br *Broker) handle(ctx context.Context, ev event) {
	now := time.Now()
	switch {
	case ev.opened != nil:
		br.sessions[ev.opened.se] = 0
		br.nextReportAt = time.Time{}
		br.stateChanged = true
	case ev.closed != nil:
		br.detachSession(ev.closed.se, now)
	case ev.frameReceived != nil:
		br.frameReceived(ctx, ev.frameReceived.se, ev.frameReceived.fr, now)
	case ev.forwardEnded != nil:
		br.forwardEnded(ctx, ev.forwardEnded, now)
	case ev.loadEnded != nil:
		br.stateChanged = true
		br.loadEnded(ctx, ev.loadEnded, now)
	case ev.unloadEnded != nil:
		br.stateChanged = true
		br.executeActions(ctx, br.sc.UnloadEnded(ev.unloadEnded.handle, ev.unloadEnded.result, now))
		br.inspectIfRestarted(ctx, ev.unloadEnded.boot, now)
	case ev.inspection != nil:
		br.handleInspection(ctx, ev.inspection, now)
	case ev.drain != nil:
		br.drained, br.drainBegan = ev.drain.drained, now
		br.stateChanged = true
		br.lg.Info().Int("entries", len(br.sessions)).Int("running", br.sc.Running()).Int("waiting", br.sc.Waiting()).Msg("drain_begun")
		br.executeActions(ctx, br.sc.StopAccepting())
	case ev.logTime > 0:
		br.ta.AdvanceLogTime(ev.logTime)
	}
}

// tick does the work that depends on time alone: it checks deadlines, inspects the engine and expires
// attempts.
func (br *Broker) tick(ctx context.Context) {
	now := time.Now()
	br.executeActions(ctx, br.sc.Tick(now))
	if br.as.Kind == conf.AgentSettingsKindEngine && !now.Before(br.nextInspectionAt) {
		br.nextInspectionAt = now.Add(inspectPeriod)
		br.executeActions(ctx, br.sc.Reinspect(now))
	}
	for attemptID, at := range br.attempts {
		br.expireAttempt(attemptID, at, now)
	}
}

// expireAttempt stops an attempt whose entry node stays disconnected, unless it has a claim, and
// removes an attempt whose answer need not be kept any longer.
func (br *Broker) expireAttempt(attemptID string, at *attempt, now time.Time) {
	detachedSince := at.out.DetachedSince()
	orphaned := !detachedSince.IsZero() && now.Sub(detachedSince) > orphanTimeout
	switch {
	case at.endedAt.IsZero() && orphaned && at.di.ClaimedAt == 0:
		br.stopAttempt(attemptID, now)
	case at.endedAt.IsZero():
	case at.di.ClaimedAt > 0:
		if now.Sub(at.endedAt) > claimedAnswerRetention {
			delete(br.attempts, attemptID)
		}
	case at.out.Delivered(), now.Sub(at.endedAt) > runs.UnclaimedRetention:
		delete(br.attempts, attemptID)
	}
}

// detachSession removes a lost connection and stops sending answers over it.
func (br *Broker) detachSession(se Session, now time.Time) {
	delete(br.sessions, se)
	for _, at := range br.attempts {
		at.out.Detach(se, now)
	}
}

// checkDrained ends the drain once noticeTime is over, no request is queued or running and every answer is acknowledged.
// It does not wait for an answer whose entry node is disconnected, or for longer than
// deliveryTimeout after the end of an answer.
func (br *Broker) checkDrained() {
	if br.drained == nil || br.sc.Running() > 0 || br.sc.Waiting() > 0 {
		return
	}
	now := time.Now()
	if now.Sub(br.drainBegan) < noticeTime {
		return
	}
	for _, at := range br.attempts {
		attached := at.out.DetachedSince().IsZero()
		if !at.out.Delivered() && attached && now.Sub(at.endedAt) < deliveryTimeout {
			return
		}
	}
	br.lg.Info().Dur("took", now.Sub(br.drainBegan)).Msg("drain_ended")
	close(br.drained)
	br.drained = nil
}
