package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/route"
	"github.com/bambooladder/bambooladder/entry/internal/abort"
	"github.com/bambooladder/bambooladder/entry/internal/admin"
	"github.com/bambooladder/bambooladder/entry/internal/caller"
	"github.com/bambooladder/bambooladder/entry/internal/claims"
	"github.com/bambooladder/bambooladder/entry/internal/config"
	"github.com/bambooladder/bambooladder/entry/internal/crash"
	"github.com/bambooladder/bambooladder/entry/internal/links"
	"github.com/bambooladder/bambooladder/entry/internal/peers"
	"github.com/bambooladder/bambooladder/entry/internal/plat"
	"github.com/bambooladder/bambooladder/entry/internal/relay"
)

const (
	// maxIdleConnsPerHost is the maximum number of idle connections to the platform or to one peer.
	maxIdleConnsPerHost = 64
	// stopTimeout is the maximum duration of a planned stop.
	stopTimeout = 10 * time.Minute
)

// Network opens and accepts the entry node's connections.
type Network interface {
	link.Dialer
	Listen(address string) (net.Listener, error)
}

// Options configures an entry node.
type Options struct {
	Settings conf.EntrySettings
	Network  Network
	Logger   zerolog.Logger
	// Policy decides how runners are chosen. Benchmarks compare other policies with the default.
	Policy route.Policy
	// Seed is the seed of the node's random number generator, which makes its choices repeatable.
	Seed uint64
}

// releaseModeOnce disables gin's debug output once per process.
var releaseModeOnce sync.Once

// New returns an entry node that serves after its start and drains when it is stopped.
func New(op Options) *fx.App {
	releaseModeOnce.Do(func() { gin.SetMode(gin.ReleaseMode) })
	return fx.New(
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(op),
		fx.Provide(
			newLifetime, newHTTPClient, newLockedRand, newLog, newLinks, newPeers, newFollower, newClaims, newReports,
			newRelay, newCallerAPI, newAdminAPI,
		),
		fx.Invoke(registerHooks),
	)
}

// lifetime holds the context of the node's goroutines and whether the node is draining.
type lifetime struct {
	// ctx is the context of the node's goroutines. It ends after the drain.
	ctx      context.Context
	cancel   context.CancelFunc
	draining atomic.Bool
	// requests is the context of callers' requests. It ends shortly before a planned stop does.
	requests    context.Context
	endRequests context.CancelCauseFunc
}

// newLifetime returns the lifetime of a new node.
func newLifetime() *lifetime {
	li := &lifetime{}
	li.ctx, li.cancel = context.WithCancel(context.Background())
	li.requests, li.endRequests = context.WithCancelCause(context.Background())
	return li
}

// newHTTPClient returns the HTTP client for requests to the platform and to peers.
func newHTTPClient(op Options) *http.Client {
	return reply.NewClient(&http.Transport{
		DialContext: op.Network.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true,
	})
}

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	rd *rand.Rand
}

// Float64 returns a random number in [0, 1).
func (lr *lockedRand) Float64() float64 {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.rd.Float64()
}

// newLockedRand returns the node's random number generator.
func newLockedRand(op Options) *lockedRand {
	return &lockedRand{rd: rand.New(rand.NewPCG(op.Seed, op.Seed))}
}

// newLog returns the client of the platform's log.
func newLog(op Options, hc *http.Client) *plat.Log {
	return plat.NewLog(hc, op.Settings.LogURL)
}

// newLinks returns the connections to agents.
func newLinks(op Options, hc *http.Client, lr *lockedRand) *links.Links {
	return links.NewLinks(links.Options{
		Place: op.Settings.Place, Boot: uuid.Must(uuid.NewV7()).String(),
		Hosts: plat.NewHosts(hc, op.Settings.HostsURL, op.Logger), Dialer: op.Network, Random: lr.Float64,
		Policy: op.Policy, Logger: op.Logger,
	})
}

// newPeers returns the client for requests to the other entry nodes.
func newPeers(op Options, hc *http.Client, ls *links.Links, lr *lockedRand) *peers.Peers {
	return peers.NewPeers(hc, ls, op.Settings.Place.Name, lr.Float64)
}

// newFollower returns the reader of the settings stream.
func newFollower(op Options, lo *plat.Log, pe *peers.Peers) *config.Follower {
	return config.NewFollower(lo, pe, op.Settings.Place.Name, op.Logger)
}

// newClaims returns the client of the claim streams.
func newClaims(op Options, lo *plat.Log, ls *links.Links, lr *lockedRand) *claims.Claims {
	return claims.NewClaims(lo, ls.AdvanceLogTime, lr.Float64, op.Logger)
}

// newReports returns the client of the stream of crash reports.
func newReports(op Options, lo *plat.Log, ls *links.Links) *crash.Reports {
	return crash.NewReports(lo, ls.AdvanceLogTime, op.Logger)
}

// newRelay returns the relay, which sends requests to backend servers.
func newRelay(op Options, ls *links.Links, cs *claims.Claims, cr *crash.Reports) *relay.Relay {
	return relay.NewRelay(ls, cs, cr, op.Logger)
}

// newCallerAPI returns the HTTP API for callers.
func newCallerAPI(op Options, li *lifetime, fo *config.Follower, ls *links.Links, rl *relay.Relay) *caller.Caller {
	return caller.NewCaller(caller.Options{
		Place: op.Settings.Place, Settings: fo, Relay: rl, Logger: op.Logger, Ready: newReadyCheck(li, fo, ls),
		Stopping: li.draining.Load,
	})
}

// newAdminAPI returns the HTTP API for operators.
func newAdminAPI(op Options, li *lifetime, fo *config.Follower, ls *links.Links, pe *peers.Peers) *admin.Admin {
	return admin.NewAdmin(admin.Options{
		Place: op.Settings.Place, RootTokenHash: op.Settings.BootstrapSha256, Settings: fo, RunnerLister: ls, Nodes: pe,
		Ready: newReadyCheck(li, fo, ls), Logger: op.Logger,
	})
}

// newReadyCheck returns a function that reports whether the node accepts new requests.
func newReadyCheck(li *lifetime, fo *config.Follower, ls *links.Links) func() bool {
	return func() bool { return !li.draining.Load() && fo.Ready() && ls.Ready() }
}

// components has the components that the hooks start and stop.
type components struct {
	fx.In
	Options  Options
	Lifetime *lifetime
	Links    *links.Links
	Follower *config.Follower
	Claims   *claims.Claims
	Reports  *crash.Reports
	Caller   *caller.Caller
	Admin    *admin.Admin
}

// registerHooks registers the functions that start and stop the node.
func registerHooks(lc fx.Lifecycle, co components) {
	callers := newServer(co.endKeepAlives(co.Caller.Handler()), co.Options.Logger)
	callers.hs.ConnContext = abort.ConnContext
	callers.hs.BaseContext = func(net.Listener) context.Context { return co.Lifetime.requests }
	operators := newServer(co.endKeepAlives(co.Admin.Handler()), co.Options.Logger)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return co.start(callers, operators) },
		OnStop:  func(ctx context.Context) error { return co.stop(ctx, callers, operators) },
	})
}

// start listens on both addresses and starts the node's goroutines.
func (co components) start(callers, operators *server) error {
	if err := callers.serve(co.Options.Network, co.Options.Settings.CallerAddress); err != nil {
		return err
	}
	if err := operators.serve(co.Options.Network, co.Options.Settings.AdminAddress); err != nil {
		return err
	}
	go co.Links.Run(co.Lifetime.ctx)
	go co.Follower.Run(co.Lifetime.ctx)
	go co.Claims.Run(co.Lifetime.ctx)
	go co.Reports.Run(co.Lifetime.ctx)
	go co.forwardToHeartbeats()
	co.Options.Logger.Info().Str("callers", co.Options.Settings.CallerAddress).
		Str("operators", co.Options.Settings.AdminAddress).Msg("entry_started")
	return nil
}

// forwardToHeartbeats passes each new settings revision and log time on to the links, whose
// heartbeats contain them.
func (co components) forwardToHeartbeats() {
	for {
		changed := co.Follower.Changed()
		st := co.Follower.View().State
		co.Links.SetRevision(st.Revision())
		co.Links.AdvanceLogTime(st.LogTime())
		select {
		case <-co.Lifetime.ctx.Done():
			return
		case <-changed:
		}
	}
}
