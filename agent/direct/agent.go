package direct

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/link"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// drainTimeout bounds the drain of a planned stop. It is short because streams between entry
	// nodes and the engine continue without the agent.
	drainTimeout = 3 * time.Second
)

// Network opens the sockets on which the agent accepts connections.
type Network interface {
	Listen(address string) (net.Listener, error)
}

// Options holds what an agent is built from.
type Options struct {
	Settings conf.DirectAgentSettings
	Network  Network
	Engine   EngineClient
	Logger   zerolog.Logger
}

// agent is one run of the agent process; ctx is canceled once it has drained. The field accepted is the number of
// connections that it has accepted from entry nodes.
type agent struct {
	op     Options
	br     *Broker
	lg     zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc

	accepted atomic.Int64
}

// New returns an agent that serves once it is started and drains when it is stopped.
func New(op Options) *fx.App {
	return fx.New(
		fx.StopTimeout(drainTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(op),
		fx.Provide(newAgent),
		fx.Invoke(registerHooks),
	)
}

// newAgent returns an agent with a new boot ID.
func newAgent(op Options) *agent {
	ctx, cancel := context.WithCancel(context.Background())
	boot := uuid.Must(uuid.NewV7()).String()
	return &agent{op: op, br: NewBroker(op.Engine, boot, op.Logger), lg: op.Logger, ctx: ctx, cancel: cancel}
}

// registerHooks makes the application start the agent's servers and broker, and drain and stop the
// agent when the application stops.
func registerHooks(lc fx.Lifecycle, ag *agent) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.Path, ag.serveLink)
	hs := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	metricsServer := &http.Server{Handler: expvar.Handler(), ReadHeaderTimeout: headerTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return ag.start(hs, metricsServer) },
		OnStop: func(ctx context.Context) error {
			ag.lg.Info().Msg("agent_draining")
			ag.br.Drain(ctx)
			ag.cancel()
			err := errors.CombineErrors(hs.Close(), metricsServer.Close())
			ag.lg.Info().Msg("agent_stopped")
			return err
		},
	})
}

// start opens the link and metrics addresses and starts the broker.
func (ag *agent) start(hs, metricsServer *http.Server) error {
	if err := ag.serve(hs, ag.op.Settings.ListenAddress); err != nil {
		return err
	}
	if ag.op.Settings.MetricsAddress != "" {
		if err := ag.serve(metricsServer, ag.op.Settings.MetricsAddress); err != nil {
			return err
		}
	}
	go ag.br.Run(ag.ctx)
	ag.lg.Info().Str("address", ag.op.Settings.ListenAddress).Str("engine", ag.op.Settings.BackendAddress).
		Str("boot", ag.br.boot).Msg("agent_started")
	return nil
}

// serve listens on an address and serves HTTP on it in a separate goroutine.
func (ag *agent) serve(hs *http.Server, address string) error {
	ls, err := ag.op.Network.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "direct: listen on %s", address)
	}
	go func() {
		if err := hs.Serve(ls); !errors.Is(err, http.ErrServerClosed) {
			ag.lg.Error().Str("address", address).Str("error", err.Error()).Msg("server_stopped")
		}
	}()
	return nil
}
