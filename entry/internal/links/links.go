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
	listPeriod  = time.Second
	duePeriod   = 50 * time.Millisecond
	dialTimeout = 2 * time.Second
)

// HostList is the platform's list of hosts.
type HostList interface {
	List(ctx context.Context) ([]member.Host, error)
}

// Options builds the links of an entry node.
type Options struct {
	Place  conf.Place
	Boot   string
	Hosts  HostList
	Dialer link.Dialer
	// Random gives numbers from 0 to 1.
	Random func() float64
	Policy route.Policy
	Logger zerolog.Logger
}

// peer is a connection to an agent.
type peer struct {
	co         *link.Conn
	welcome    *wire.Welcome
	dispatched uint64
	connected  time.Time
}

// Links holds the connections, the fleet and the attempts.
type Links struct {
	op       Options
	revision atomic.Int64
	logTime  atomic.Int64

	mu       sync.Mutex
	members  member.Members
	fleet    route.Fleet
	peers    map[string]*peer
	attempts map[string]*Attempt
	entries  []member.Host
	ready    bool
}

// ErrNoLink means that the runner cannot be reached, so that nothing was sent.
var ErrNoLink = errors.New("links: the runner is not connected; choose another")

// NewLinks returns links without connections.
func NewLinks(op Options) *Links {
	return &Links{op: op, fleet: route.Fleet{Policy: op.Policy}, peers: map[string]*peer{}, attempts: map[string]*Attempt{}}
}

// SetRevision sets the revision that heartbeats carry.
func (ls *Links) SetRevision(revision int64) { ls.revision.Store(revision) }

// SeeLogTime takes a time read off the log, in Unix milliseconds, for the heartbeats.
func (ls *Links) SeeLogTime(millis int64) {
	for {
		seen := ls.logTime.Load()
		if millis <= seen || ls.logTime.CompareAndSwap(seen, millis) {
			return
		}
	}
}

// Run keeps the connections until the context ends.
func (ls *Links) Run(ctx context.Context) {
	list := time.NewTicker(listPeriod)
	defer list.Stop()
	due := time.NewTicker(duePeriod)
	defer due.Stop()
	ls.readList(ctx)
	for {
		ls.dialDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			ls.readList(ctx)
		case <-due.C:
		}
	}
}

// Choose returns the cheapest runner for a request.
func (ls *Links) Choose(rq route.Request) (route.Choice, bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.fleet.Choose(rq, time.Now())
}

// Failed records a failed attempt.
func (ls *Links) Failed(runner string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.fleet.Failed(runner, time.Now())
}

// Succeeded records a whole answer.
func (ls *Links) Succeeded(runner string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.fleet.Succeeded(runner)
}

// Random returns a number from 0 to 1 of the node's random source.
func (ls *Links) Random() float64 { return ls.op.Random() }

// Resumes tells whether a runner continues a stream from a token.
func (ls *Links) Resumes(runner string) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	pe := ls.peers[runner]
	return pe != nil && pe.welcome.Resumes
}

// Boot returns the boot of a connected runner's agent.
func (ls *Links) Boot(runner string) (string, bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if pe := ls.peers[runner]; pe != nil {
		return pe.welcome.Boot, true
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

// Dispatch sends an attempt to its runner; it fails with ErrNoLink where nothing was sent.
func (ls *Links) Dispatch(ctx context.Context, runner string, di *wire.Dispatch) (*Attempt, error) {
	di.Window = Window
	at := ls.TrackAttempt(di.Attempt, runner, di.Boot)
	if !ls.send(ctx, runner, di.Boot, &wire.Frame{Dispatch: di}) {
		at.Close()
		return nil, ErrNoLink
	}
	return at, nil
}

// send queues a frame for a runner's agent of a boot and tells whether it was queued.
func (ls *Links) send(ctx context.Context, runner, boot string, fr *wire.Frame) bool {
	ls.mu.Lock()
	pe := ls.peers[runner]
	if pe == nil || pe.welcome.Boot != boot {
		ls.mu.Unlock()
		return false
	}
	if fr.Dispatch != nil {
		pe.dispatched++
		ls.fleet.AddUnreported(runner, 1)
	}
	ls.mu.Unlock()
	return pe.co.Send(ctx, fr) == nil
}

// Ready tells whether the list of hosts was read once.
func (ls *Links) Ready() bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.ready
}

// Entries returns the entry nodes in the platform's list.
func (ls *Links) Entries() []member.Host {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.entries
}

// Runners returns what is known of the connected runners, in the order of their names.
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
