package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/bambooladder/bambooladder/agent/internal/broker"
	"github.com/bambooladder/bambooladder/agent/internal/client"
	"github.com/bambooladder/bambooladder/agent/internal/server"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/link"
)

const (
	// idleConnsMax bounds the idle connections to the backend server that are kept for reuse.
	idleConnsMax = 256
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// drainTimeout bounds the drain of a planned stop.
	drainTimeout = 10 * time.Minute
)

// Network opens the agent's connections and the sockets on which it accepts connections.
type Network interface {
	link.Dialer
	Listen(address string) (net.Listener, error)
}

// Options holds what an agent is built from.
type Options struct {
	Settings conf.AgentSettings
	Network  Network
	Logger   zerolog.Logger
}

// New returns an agent that serves once it is started and drains when it is stopped.
func New(op Options) *fx.App {
	return fx.New(
		fx.StopTimeout(drainTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(op),
		fx.Provide(newLifetime, newClient, newBroker, newServer),
		fx.Invoke(registerHooks),
	)
}

// lifetime holds the context of all goroutines of the agent.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// newLifetime returns a lifetime whose context is canceled after the drain.
func newLifetime() *lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return &lifetime{ctx: ctx, cancel: cancel}
}

// newClient returns the client of the backend server.
func newClient(op Options) *client.Client {
	tr := &http.Transport{DialContext: op.Network.DialContext, MaxIdleConnsPerHost: idleConnsMax, DisableCompression: true}
	return client.NewClient(tr, op.Settings.BackendURL)
}

// newBroker returns a broker with a new boot ID, which begins with the name of the agent's host.
func newBroker(op Options, cl *client.Client) *broker.Broker {
	boot := op.Settings.Place.Name + "-" + uuid.Must(uuid.NewV7()).String()
	return broker.NewBroker(op.Settings, boot, cl, op.Logger)
}

// newServer returns the server that accepts the connections of entry nodes.
func newServer(li *lifetime, op Options, br *broker.Broker) *server.Server {
	return server.NewServer(li.ctx, br, op.Logger)
}

// registerHooks makes the application start the agent's server and broker, and drain and stop the agent
// when the application stops.
func registerHooks(lc fx.Lifecycle, op Options, li *lifetime, br *broker.Broker, sv *server.Server) {
	hs := &http.Server{Handler: sv.Handler(), ReadHeaderTimeout: headerTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ls, err := op.Network.Listen(op.Settings.ListenAddress)
			if err != nil {
				return errors.Wrapf(err, "node: listen on %s", op.Settings.ListenAddress)
			}
			go br.Run(li.ctx)
			go func() { _ = hs.Serve(ls) }()
			op.Logger.Info().Str("address", op.Settings.ListenAddress).Msg("agent_started")
			return nil
		},
		OnStop: func(ctx context.Context) error {
			op.Logger.Info().Msg("agent_draining")
			drained := br.Drain(ctx)
			li.cancel()
			_ = hs.Close()
			op.Logger.Info().Bool("drained", drained).Msg("agent_stopped")
			return nil
		},
	})
}
