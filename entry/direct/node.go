package direct

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
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
	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/entry/internal/conns"
	"github.com/bambooladder/bambooladder/entry/internal/memory"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the idle timeout that operators allow callers, so callers close idle
	// connections first.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	sweepPeriod    = time.Second
)

// Options configures an entry node.
type Options struct {
	Settings  conf.DirectEntrySettings
	Network   Network
	LogReader LogReader
	Protocol  Protocol
	Logger    zerolog.Logger
	// Random returns numbers in [0, 1); nil selects math/rand.
	Random func() float64
}

// Node is an entry node that forwards requests straight to the backend servers.
type Node struct {
	options Options
	logger  zerolog.Logger
	view    *logView
	agents  *agents
	feeds   *feeds
	crashes *crashes
	origins *origins
	quotas  *quotas
	freezes freezes
	held    heldBytes
	// reports limits the memory of the reports of servers that are being read.
	reports reply.Budget
	memory  memory.Budget
	pool    *pool.Pool
	// boot identifies this run of the node.
	boot   string
	ctx    context.Context
	cancel context.CancelFunc

	drain    *draining
	inFlight atomic.Int64
	// callers holds the connections of callers, callerListener accepts them.
	callers        *conns.Set
	callerListener net.Listener
	// callersEnded is closed once no connection of callers is accepted any more.
	callersEnded chan struct{}

	// syncing is held while the list of servers is passed on, so that an older one never follows a newer one.
	syncing sync.Mutex

	// mu guards the fields below.
	mu         sync.Mutex
	fleet      spread.Fleet
	popularity spread.Popularity
	// addresses maps server IDs to addresses.
	addresses map[string]string
	// retryWindows counts the retries of each service.
	retryWindows map[string]*retry.Window
	// framing tells which services usually send streams without framing.
	framing framing
}

// releaseModeOnce disables gin's debug output once per process.
var releaseModeOnce sync.Once

// New returns an application that runs an entry node and drains it when stopped.
func New(op Options) *fx.App {
	releaseModeOnce.Do(func() { gin.SetMode(gin.ReleaseMode) })
	return fx.New(
		fx.StopTimeout(time.Duration(op.Settings.StopMs)*time.Millisecond),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(op),
		fx.Provide(newNode),
		fx.Invoke(registerHooks),
	)
}

// newNode returns a node that has read nothing from the log yet.
func newNode(options Options) *Node {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	ctx, cancel := context.WithCancel(context.Background())
	no := &Node{
		options: options, logger: options.Logger, view: newLogView(), pool: pool.New(options.Network, options.Settings.AnswerHeadBytes), boot: uuid.Must(uuid.NewV7()).String(),
		ctx: ctx, cancel: cancel, reports: reply.Budget{BytesMax: allReportBytesMax}, drain: newDraining(), callers: conns.NewSet(callerLimits, options.Logger), callersEnded: make(chan struct{}), addresses: map[string]string{}, retryWindows: map[string]*retry.Window{},
	}
	no.memory.SetBytes(no.callersBytes())
	no.held.budget = &no.memory
	metrics.Set("callers_memory", expvar.Func(func() any { return no.memory.Stats() }))
	no.held.eachMax, no.held.allMax = options.Settings.AnswerHoldBytes, options.Settings.AnswersHoldBytes
	no.agents = newAgents(no)
	no.crashes = newCrashes(no)
	no.origins = &origins{no: no, startedAt: time.Now()}
	no.quotas = newQuotas(no)
	no.feeds = newFeeds(no, newFollower(no, OperatorsTopic), newFollower(no, ServersTopic))
	return no
}

// httpServers holds the HTTP servers of a node.
type httpServers struct {
	callers, ready, peers, metrics *http.Server
}

// registerHooks registers the node's start and stop with the application.
func registerHooks(lc fx.Lifecycle, no *Node) {
	engine := gin.New()
	engine.NoRoute(no.serve)
	sv := httpServers{
		callers: newHTTPServer(engine),
		ready:   newHTTPServer(http.HandlerFunc(no.serveReady)),
		peers:   newHTTPServer(no.peerHandler()),
		metrics: newHTTPServer(expvar.Handler()),
	}
	sv.callers.ConnState = no.callers.ConnState
	sv.callers.ConnContext = callerConnContext
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return no.start(sv) },
		OnStop:  func(ctx context.Context) error { return no.stop(ctx, sv) },
	})
}

// newHTTPServer returns an HTTP server that limits the size of headers and the time to read
// them, but not the time of an answer.
func newHTTPServer(ha http.Handler) *http.Server {
	return &http.Server{
		Handler: ha, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// start opens all listeners and starts the background goroutines.
func (no *Node) start(sv httpServers) error {
	se := &no.options.Settings
	for _, li := range []struct {
		hs      *http.Server
		address string
	}{{sv.callers, se.CallerAddress}, {sv.ready, se.ReadyAddress}, {sv.peers, se.PeerAddress}, {sv.metrics, se.MetricsAddress}} {
		if li.address == "" {
			continue
		}
		ls, err := no.options.Network.Listen(li.address)
		if err != nil {
			return errors.Wrapf(err, "direct: listen on %s", li.address)
		}
		if li.hs == sv.callers {
			ls = no.callers.Listener(ls)
			no.callerListener = ls
			go no.serveCallers(li.hs, ls)
			continue
		}
		go no.serveHTTP(li.hs, ls)
	}
	for _, fo := range no.feeds.followers {
		go fo.run(no.ctx)
	}
	go no.feeds.run(no.ctx)
	go no.agents.run(no.ctx)
	go no.agents.tellPeriodically(no.ctx)
	go no.quotas.run(no.ctx)
	go no.sweepIdleConnections()
	no.logger.Info().Str("callers", se.CallerAddress).Str("boot", no.boot).Str("log", se.LogAddress).Msg("entry_started")
	return nil
}

// serveCallers serves callers until the listener is closed, and tells when it has ended.
func (no *Node) serveCallers(hs *http.Server, ls net.Listener) {
	defer close(no.callersEnded)
	no.serveHTTP(hs, ls)
}

// serveHTTP serves HTTP until the listener is closed.
func (no *Node) serveHTTP(hs *http.Server, ls net.Listener) {
	if err := hs.Serve(ls); !errors.Is(err, http.ErrServerClosed) && !no.drain.begun() {
		no.logger.Error().Stringer("address", ls.Addr()).Str("error", err.Error()).Msg("server_stopped")
	}
}

// sweepIdleConnections periodically closes connections to backend servers that have been idle
// for too long.
func (no *Node) sweepIdleConnections() {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-no.ctx.Done():
			return
		case <-tick.C:
			no.pool.CloseExpired()
		}
	}
}

// sleep waits for a period or until the context ends.
func (no *Node) sleep(ctx context.Context, period time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}

// serveReady answers the load balancer's readiness check.
func (no *Node) serveReady(wr http.ResponseWriter, _ *http.Request) {
	if no.drain.begun() || !no.view.ready() {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusOK)
}

// recordEngineReport updates an engine's load and adapters from its agent's report.
func (no *Node) recordEngineReport(id string, lo spread.Load, holds []spread.AdapterSlot) {
	no.crashes.recordStarted(poison.Run{Server: id, Born: lo.Born}, "")
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.AgentReported(id, lo, holds)
}

// recordAgentUnreachable records that the connection to a server's agent was lost.
func (no *Node) recordAgentUnreachable(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.AgentLost(id)
}

// recordAgentReachable records that a server's agent responds again.
func (no *Node) recordAgentReachable(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.AgentRegained(id)
}

// serviceOf returns the name of a server's service.
func (no *Node) serviceOf(id string) (string, bool) {
	no.mu.Lock()
	defer no.mu.Unlock()
	se, ok := no.fleet.Server(id)
	return se.Service, ok
}

// runStartOf returns when a server's current run started, in Unix milliseconds.
func (no *Node) runStartOf(id string) int64 {
	no.mu.Lock()
	defer no.mu.Unlock()
	se, _ := no.fleet.Server(id)
	return se.Born
}
