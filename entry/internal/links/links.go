package links

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/route"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	hostListInterval = time.Second
	dialInterval     = 50 * time.Millisecond
	dialTimeout      = 2 * time.Second
)

// HostList reads the platform's host list.
type HostList interface {
	List(ctx context.Context) ([]member.Host, error)
}

// Options configures the connections of an entry node.
type Options struct {
	Place conf.Place
	// Boot identifies the run of the entry node.
	Boot   string
	Hosts  HostList
	Dialer link.Dialer
	// Random returns numbers in [0, 1).
	Random func() float64
	Policy route.Policy
	Logger zerolog.Logger
}

// agentConn is a connection to an agent.
type agentConn struct {
	co      *link.Conn
	welcome *wire.Welcome
	// dispatchCount is the number of attempts sent on the connection.
	dispatchCount uint64
	connectedAt   time.Time
}

// Links holds the connections to agents, what their reports say about the runners, and the
// attempts in flight.
type Links struct {
	op Options
	// revision and logTime are sent in heartbeats.
	revision atomic.Int64
	logTime  atomic.Int64

	mu          sync.Mutex
	members     member.Members
	fleet       route.Fleet
	conns       map[string]*agentConn
	attempts    map[string]*Attempt
	entries     []member.Host
	hostsLoaded bool
}

// ErrNotConnected means that the runner is not connected and nothing was sent to it.
var ErrNotConnected = errors.New("links: the runner is not connected; choose another")

// NewLinks returns a Links without connections. Run opens them.
func NewLinks(op Options) *Links {
	return &Links{op: op, fleet: route.Fleet{Policy: op.Policy}, conns: map[string]*agentConn{}, attempts: map[string]*Attempt{}}
}

// SetRevision sets the settings revision that heartbeats state.
func (ls *Links) SetRevision(revision int64) { ls.revision.Store(revision) }

// AdvanceLogTime sets the log time that heartbeats state, in Unix milliseconds, unless it is older
// than the current one.
func (ls *Links) AdvanceLogTime(millis int64) {
	for {
		newest := ls.logTime.Load()
		if millis <= newest || ls.logTime.CompareAndSwap(newest, millis) {
			return
		}
	}
}

// Run follows the host list and connects to agents until the context ends.
func (ls *Links) Run(ctx context.Context) {
	listTicker := time.NewTicker(hostListInterval)
	defer listTicker.Stop()
	dialTicker := time.NewTicker(dialInterval)
	defer dialTicker.Stop()
	ls.refreshHosts(ctx)
	for {
		ls.dialDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-listTicker.C:
			ls.refreshHosts(ctx)
		case <-dialTicker.C:
		}
	}
}

// Choose returns the runner for a request by the configured policy, or false if there is none.
func (ls *Links) Choose(rq route.Request) (route.Choice, bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.fleet.Choose(rq, time.Now())
}

// Failed counts a failed attempt at a runner.
func (ls *Links) Failed(runner string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.fleet.Failed(runner, time.Now())
}

// Succeeded counts a complete answer from a runner.
func (ls *Links) Succeeded(runner string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.fleet.Succeeded(runner)
}

// Random returns a number in [0, 1) from the node's random source.
func (ls *Links) Random() float64 { return ls.op.Random() }

// Resumes reports whether a connected runner can resume a stream after the tokens already sent.
func (ls *Links) Resumes(runner string) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ac := ls.conns[runner]
	return ac != nil && ac.welcome.Resumes
}

// Boot returns the ID of the run of a runner's agent, or false if the runner is not connected.
func (ls *Links) Boot(runner string) (string, bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ac := ls.conns[runner]; ac != nil {
		return ac.welcome.Boot, true
	}
	return "", false
}

// TrackAttempt returns an attempt that receives events, without dispatching it. The attempt may
// have been dispatched before.
func (ls *Links) TrackAttempt(id, runner, boot string) *Attempt {
	at := &Attempt{ID: id, Runner: runner, Boot: boot, Events: make(chan Event, eventBufferSize), SentAt: time.Now(), ls: ls}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.attempts[id] = at
	return at
}

// Dispatch sends an attempt to its runner. It returns ErrNotConnected if nothing was sent.
func (ls *Links) Dispatch(ctx context.Context, runner string, di *wire.Dispatch) (*Attempt, error) {
	di.Window = Window
	at := ls.TrackAttempt(di.Attempt, runner, di.Boot)
	if !ls.send(ctx, runner, di.Boot, &wire.Frame{Dispatch: di}) {
		at.Close()
		return nil, ErrNotConnected
	}
	return at, nil
}

// send queues a frame for the given run of a runner's agent and reports whether it was queued.
func (ls *Links) send(ctx context.Context, runner, boot string, fr *wire.Frame) bool {
	ls.mu.Lock()
	ac := ls.conns[runner]
	if ac == nil || ac.welcome.Boot != boot {
		ls.mu.Unlock()
		return false
	}
	if fr.Dispatch != nil {
		ac.dispatchCount++
		ls.fleet.AddUnreported(runner, 1)
	}
	ls.mu.Unlock()
	return ac.co.Send(ctx, fr) == nil
}

// Ready reports whether the host list has been read at least once.
func (ls *Links) Ready() bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.hostsLoaded
}

// Entries returns the entry nodes in the platform's host list.
func (ls *Links) Entries() []member.Host {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.entries
}

// Runners returns the connected runners as last reported, sorted by name.
func (ls *Links) Runners() []route.Runner {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	names := ls.fleet.Names()
	list := make([]route.Runner, 0, len(names))
	for _, name := range names {
		ru, _ := ls.fleet.Runner(name)
		list = append(list, ru)
	}
	return list
}
