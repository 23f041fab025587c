package direct

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	headerTimeout = 10 * time.Second
	// idleTimeout is above what operators allow callers; they close earlier.
	idleTimeout = 2 * time.Minute
	headerBytes = 64 << 10
	sweepPeriod = time.Second
	// stopMargin is the part of the stop time that is kept for the last steps.
	stopMargin = 700 * time.Millisecond
	// noticeTime is how long new connections still come after readiness failed: the
	// balancer takes a node out after two questions, one a second.
	noticeTime = 2500 * time.Millisecond
	// quietTime is how long nothing must have been in flight before a planned stop ends.
	quietTime = 300 * time.Millisecond
	quietPoll = 50 * time.Millisecond
)

// Options builds an entry node.
type Options struct {
	Settings conf.DirectEntrySettings
	Network  Network
	Source   Source
	Protocol Protocol
	Logger   zerolog.Logger
	// Random gives numbers from 0 to 1; the zero value is the runtime's source.
	Random func() float64
}

// Node is an entry node.
type Node struct {
	op     Options
	lg     zerolog.Logger
	be     *beliefs
	agents *agents
	pool   *pool.Pool
	boot   string
	ctx    context.Context
	cancel context.CancelFunc

	draining atomic.Bool
	inFlight atomic.Int64

	mu        sync.Mutex
	fleet     spread.Fleet
	popular   spread.Popularity
	addresses map[string]string
	budgets   map[string]*retry.Window
}

// releaseMode quiets the HTTP library once.
var releaseMode sync.Once

// New returns an entry node that serves once it is started and drains when it is stopped.
func New(op Options) *fx.App {
	releaseMode.Do(func() { gin.SetMode(gin.ReleaseMode) })
	return fx.New(
		fx.StopTimeout(time.Duration(op.Settings.StopMs)*time.Millisecond),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(op),
		fx.Provide(newNode),
		fx.Invoke(run),
	)
}

// newNode returns a node that knows nothing yet.
func newNode(op Options) *Node {
	if op.Random == nil {
		op.Random = rand.Float64
	}
	ctx, cancel := context.WithCancel(context.Background())
	no := &Node{
		op: op, lg: op.Logger, be: newBeliefs(), pool: pool.New(op.Network), boot: uuid.Must(uuid.NewV7()).String(),
		ctx: ctx, cancel: cancel, addresses: map[string]string{}, budgets: map[string]*retry.Window{},
	}
	no.agents = newAgents(no)
	return no
}

// servers are the HTTP servers of a node.
type servers struct {
	callers, ready, peers, metrics *http.Server
}

// run hooks the node's goroutines to its start and stop.
func run(lc fx.Lifecycle, no *Node) {
	engine := gin.New()
	engine.NoRoute(no.serve)
	sv := servers{
		callers: newServer(engine),
		ready:   newServer(http.HandlerFunc(no.serveReady)),
		peers:   newServer(http.HandlerFunc(no.servePeer)),
		metrics: newServer(expvar.Handler()),
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return no.start(sv) },
		OnStop:  func(ctx context.Context) error { return no.stop(ctx, sv) },
	})
}

// newServer returns an HTTP server that bounds headers, but not the time of an answer.
func newServer(ha http.Handler) *http.Server {
	return &http.Server{
		Handler: ha, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
}

// start listens and starts a goroutine for each duty.
func (no *Node) start(sv servers) error {
	se := &no.op.Settings
	for _, li := range []struct {
		hs      *http.Server
		address string
	}{{sv.callers, se.CallerAddress}, {sv.ready, se.ReadyAddress}, {sv.peers, se.PeerAddress}, {sv.metrics, se.MetricsAddress}} {
		if li.address == "" {
			continue
		}
		if err := no.listen(li.hs, li.address); err != nil {
			return err
		}
	}
	go (&follower{no: no, to: Operators}).run(no.ctx)
	go (&follower{no: no, to: Servers}).run(no.ctx)
	go no.agents.run(no.ctx)
	go no.sweep()
	no.lg.Info().Str("callers", se.CallerAddress).Str("boot", no.boot).Str("log", se.LogAddress).Msg("entry_started")
	return nil
}

// listen accepts connections on an address.
func (no *Node) listen(hs *http.Server, address string) error {
	ls, err := no.op.Network.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "direct: listen on %s", address)
	}
	go func() {
		if err := hs.Serve(ls); !errors.Is(err, http.ErrServerClosed) {
			no.lg.Error().Str("address", address).Str("error", err.Error()).Msg("server_stopped")
		}
	}()
	return nil
}

// sweep closes connections to backend servers that have been idle for too long.
func (no *Node) sweep() {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-no.ctx.Done():
			return
		case <-tick.C:
			no.pool.Sweep()
		}
	}
}

// stop fails readiness, serves on while the balancer notices, and finishes what has begun.
func (no *Node) stop(ctx context.Context, sv servers) error {
	no.draining.Store(true)
	no.lg.Info().Int64("in_flight", no.inFlight.Load()).Msg("entry_draining")
	deadline := time.Now().Add(time.Duration(no.op.Settings.StopMs)*time.Millisecond - stopMargin)
	no.pause(ctx, noticeTime)
	left, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// Idle connections are closed now: a request that came late on one would be cut.
	// The shutdown itself would wait 5 s for connections on which nothing was ever sent.
	go func() { _ = sv.callers.Shutdown(left) }()
	no.awaitQuiet(left)
	err := sv.callers.Close()
	no.cancel()
	err = errors.CombineErrors(err, errors.CombineErrors(sv.ready.Close(), errors.CombineErrors(sv.peers.Close(), sv.metrics.Close())))
	no.lg.Info().Int64("cut_off", no.inFlight.Load()).Msg("entry_stopped")
	return errors.Wrap(err, "direct: drain")
}

// awaitQuiet waits until no request has been in flight for a while, or the context ends.
func (no *Node) awaitQuiet(ctx context.Context) {
	for quiet := time.Duration(0); quiet < quietTime && ctx.Err() == nil; quiet += quietPoll {
		no.pause(ctx, quietPoll)
		if no.inFlight.Load() > 0 {
			quiet = 0
		}
	}
}

// pause waits.
func (no *Node) pause(ctx context.Context, period time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}

// serveReady answers the balancer.
func (no *Node) serveReady(wr http.ResponseWriter, _ *http.Request) {
	if no.draining.Load() || !no.be.ready() {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusOK)
}

// told takes an agent's message on its engine.
func (no *Node) told(id string, lo spread.Load, holds []spread.Hold) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Told(id, lo, holds)
}

// untold records that the agent beside a server cannot be reached.
func (no *Node) untold(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Untold(id)
}

// retold records that the agent beside a server answers again.
func (no *Node) retold(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Retold(id)
}

// serviceOf returns the service of a server.
func (no *Node) serviceOf(id string) (string, bool) {
	no.mu.Lock()
	defer no.mu.Unlock()
	se, ok := no.fleet.Server(id)
	return se.Service, ok
}

// bornOf returns the run of a server.
func (no *Node) bornOf(id string) int64 {
	no.mu.Lock()
	defer no.mu.Unlock()
	se, _ := no.fleet.Server(id)
	return se.Born
}
