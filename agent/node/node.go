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
	idleConnsMax  = 256
	headerTimeout = 5 * time.Second
	// drainMax bounds the drain of a planned stop.
	drainMax = 10 * time.Minute
)

// Network is how the agent reaches others and is reached.
type Network interface {
	link.Dialer
	Listen(address string) (net.Listener, error)
}

// Options builds an agent.
type Options struct {
	Settings conf.AgentSettings
	Network  Network
	Logger   zerolog.Logger
}

// New returns an agent that serves once it is started and drains when it is stopped.
func New(op Options) *fx.App {
	return fx.New(
		fx.StopTimeout(drainMax),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(op),
		fx.Provide(newLifetime, newClient, newBroker, newServer),
		fx.Invoke(run),
	)
}

// lifetime is the context of everything the agent runs.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// newLifetime returns a context that ends after the drain.
func newLifetime() *lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return &lifetime{ctx: ctx, cancel: cancel}
}

// newClient returns the client of the backend server.
func newClient(op Options) *client.Client {
	tr := &http.Transport{
		DialContext: op.Network.DialContext, MaxIdleConnsPerHost: idleConnsMax, DisableCompression: true,
	}
	return client.NewClient(&http.Client{Transport: tr}, op.Settings.BackendURL)
}

// newBroker returns the broker of this boot.
func newBroker(op Options, cl *client.Client) *broker.Broker {
	boot := op.Settings.Place.Name + "-" + uuid.Must(uuid.NewV7()).String()
	return broker.NewBroker(op.Settings, boot, cl, op.Logger)
}

// newServer returns the server of entry nodes.
func newServer(li *lifetime, op Options, br *broker.Broker) *server.Server {
	return server.NewServer(li.ctx, br, op.Logger)
}

// run hooks the agent's goroutines to its start and stop.
func run(lc fx.Lifecycle, op Options, li *lifetime, br *broker.Broker, sv *server.Server) {
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
			br.Drain(ctx)
			li.cancel()
			_ = hs.Close()
			op.Logger.Info().Msg("agent_stopped")
			return nil
		},
	})
}
