package node

import (
	"context"
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
	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/route"
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
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 32 << 10
	idleConnsMax  = 64
	// drainMax bounds the drain of a planned stop.
	drainMax = 10 * time.Minute
)

// Network is how the entry node reaches others and is reached.
type Network interface {
	link.Dialer
	Listen(address string) (net.Listener, error)
}

// Options builds an entry node.
type Options struct {
	Settings conf.EntrySettings
	Network  Network
	Logger   zerolog.Logger
	// Policy is how runners are chosen; measurements compare others with the usual one.
	Policy route.Policy
	// Seed makes the node's random source repeatable.
	Seed uint64
}

// releaseMode quiets the HTTP library once.
var releaseMode sync.Once

// New returns an entry node that serves once it is started and drains when it is stopped.
func New(op Options) *fx.App {
	releaseMode.Do(func() { gin.SetMode(gin.ReleaseMode) })
	return fx.New(
		fx.StopTimeout(drainMax),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(op),
		fx.Provide(
			newLifetime, newHTTP, newRandom, newLog, newLinks, newPeers, newFollower, newClaims, newReports,
			newRelay, newCaller, newAdmin,
		),
		fx.Invoke(run),
	)
}

// lifetime is the context of everything the node runs, and whether it drains.
type lifetime struct {
	ctx      context.Context
	cancel   context.CancelFunc
	draining atomic.Bool
}

// newLifetime returns a context that ends after the drain.
func newLifetime() *lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return &lifetime{ctx: ctx, cancel: cancel}
}

// newHTTP returns the client for the platform and for peers.
func newHTTP(op Options) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: op.Network.DialContext, MaxIdleConnsPerHost: idleConnsMax, DisableCompression: true,
	}}
}

// source is a random source that goroutines may share.
type source struct {
	mu sync.Mutex
	rd *rand.Rand
}

// Float64 returns a number from 0 to 1.
func (so *source) Float64() float64 {
	so.mu.Lock()
	defer so.mu.Unlock()
	return so.rd.Float64()
}

// newRandom returns the node's random source.
func newRandom(op Options) *source {
	return &source{rd: rand.New(rand.NewPCG(op.Seed, op.Seed))}
}

// newLog returns the client of the platform's log.
func newLog(op Options, hc *http.Client) *plat.Log {
	return plat.NewLog(hc, op.Settings.LogURL)
}

// newLinks returns the connections to agents.
func newLinks(op Options, hc *http.Client, so *source) *links.Links {
	return links.NewLinks(links.Options{
		Place: op.Settings.Place, Boot: uuid.Must(uuid.NewV7()).String(),
		Hosts: plat.NewHosts(hc, op.Settings.HostsURL), Dialer: op.Network, Random: so.Float64,
		Policy: op.Policy, Logger: op.Logger,
	})
}

// newPeers returns the client of the other entry nodes.
func newPeers(op Options, hc *http.Client, ls *links.Links, so *source) *peers.Peers {
	return peers.NewPeers(hc, ls, op.Settings.Place.Name, so.Float64)
}

// newFollower returns the follower of the settings.
func newFollower(op Options, lo *plat.Log, pe *peers.Peers) *config.Follower {
	return config.NewFollower(lo, pe, op.Settings.Place.Name, op.Logger)
}

// newClaims returns the claim streams.
func newClaims(op Options, lo *plat.Log, ls *links.Links, so *source) *claims.Claims {
	return claims.NewClaims(lo, ls.SeeLogTime, so.Float64, op.Logger)
}

// newReports returns the reports of crashes.
func newReports(op Options, lo *plat.Log, ls *links.Links) *crash.Reports {
	return crash.NewReports(lo, ls.SeeLogTime, op.Logger)
}

// newRelay returns the relay of requests.
func newRelay(op Options, ls *links.Links, cs *claims.Claims, cr *crash.Reports) *relay.Relay {
	return relay.NewRelay(ls, cs, cr, op.Logger)
}

// newCaller returns the callers' interface.
func newCaller(op Options, li *lifetime, fo *config.Follower, ls *links.Links, rl *relay.Relay) *caller.Caller {
	return caller.NewCaller(caller.Options{
		Place: op.Settings.Place, Settings: fo, Relay: rl, Logger: op.Logger, Ready: readiness(li, fo, ls),
	})
}

// newAdmin returns the operators' interface.
func newAdmin(op Options, li *lifetime, fo *config.Follower, ls *links.Links, pe *peers.Peers) *admin.Admin {
	return admin.NewAdmin(admin.Options{
		Place: op.Settings.Place, RootHash: op.Settings.BootstrapSha256, Settings: fo, Fleet: ls, Nodes: pe,
		Ready: readiness(li, fo, ls), Logger: op.Logger,
	})
}

// readiness tells whether the node may be given new requests.
func readiness(li *lifetime, fo *config.Follower, ls *links.Links) func() bool {
	return func() bool { return !li.draining.Load() && fo.Ready() && ls.Ready() }
}

// parts are what run starts and stops.
type parts struct {
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

// run hooks the node's goroutines to its start and stop.
func run(lc fx.Lifecycle, pa parts) {
	callers := newServer(pa.Caller.Handler())
	operators := newServer(pa.Admin.Handler())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return pa.start(callers, operators) },
		OnStop:  func(ctx context.Context) error { return pa.stop(ctx, callers, operators) },
	})
}

// newServer returns an HTTP server that bounds headers, but not the time of an answer.
func newServer(ha http.Handler) *http.Server {
	return &http.Server{
		Handler: ha, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
}

// start listens and starts a goroutine for each duty.
func (pa parts) start(callers, operators *http.Server) error {
	if err := pa.serve(callers, pa.Options.Settings.CallerAddress); err != nil {
		return err
	}
	if err := pa.serve(operators, pa.Options.Settings.AdminAddress); err != nil {
		return err
	}
	go pa.Links.Run(pa.Lifetime.ctx)
	go pa.Follower.Run(pa.Lifetime.ctx)
	go pa.Claims.Run(pa.Lifetime.ctx)
	go pa.Reports.Run(pa.Lifetime.ctx)
	go pa.watermarks()
	pa.Options.Logger.Info().Str("callers", pa.Options.Settings.CallerAddress).
		Str("operators", pa.Options.Settings.AdminAddress).Msg("entry_started")
	return nil
}

// serve accepts connections on an address.
func (pa parts) serve(hs *http.Server, address string) error {
	ls, err := pa.Options.Network.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "node: listen on %s", address)
	}
	go func() { _ = hs.Serve(ls) }()
	return nil
}

// watermarks passes the newest revision and log time on to the heartbeats.
func (pa parts) watermarks() {
	for {
		changed := pa.Follower.Changed()
		st := pa.Follower.View().State
		pa.Links.SetRevision(st.Revision())
		pa.Links.SeeLogTime(st.LogTime())
		select {
		case <-pa.Lifetime.ctx.Done():
			return
		case <-changed:
		}
	}
}

// stop fails readiness, gives the balancer time to see it and finishes what has begun.
func (pa parts) stop(ctx context.Context, callers, operators *http.Server) error {
	pa.Lifetime.draining.Store(true)
	pa.Options.Logger.Info().Msg("entry_draining")
	select {
	case <-time.After(time.Duration(pa.Options.Settings.DrainGraceMs) * time.Millisecond):
	case <-ctx.Done():
	}
	err := callers.Shutdown(ctx)
	pa.Lifetime.cancel()
	_ = operators.Close()
	pa.Options.Logger.Info().Msg("entry_stopped")
	return errors.Wrap(err, "node: drain")
}
