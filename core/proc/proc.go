package proc

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// Exit codes of the programs.
const (
	ExitOK       = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitSettings = 3
)

const (
	startTimeout = 15 * time.Second
	// dialTimeout bounds the wait for a host that does not answer.
	dialTimeout = 2 * time.Second
)

// Network is the host's own network.
type Network struct{}

// DialContext opens a TCP connection.
func (*Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	co, err := dialer.DialContext(ctx, network, address)
	return co, errors.Wrapf(err, "proc: dial %s", address)
}

// Listen accepts TCP connections on an address.
func (*Network) Listen(address string) (net.Listener, error) {
	ls, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return ls, errors.Wrapf(err, "proc: listen on %s", address)
}

// Serve starts an application, waits for a signal, stops it and returns the exit
// code. Signals during the stop are logged and change nothing, so that a drain is
// never cut short.
func Serve(app *fx.App, lg zerolog.Logger) int {
	if err := app.Err(); err != nil {
		lg.Error().Str("error", err.Error()).Msg("build_failed")
		return ExitError
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		lg.Error().Str("error", err.Error()).Msg("start_failed")
		return ExitError
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	lg.Info().Str("signal", awaitStop(signals, reloads, lg).String()).Msg("stop_requested")
	go func() {
		for si := range signals {
			lg.Warn().Str("signal", si.String()).Msg("already_stopping")
		}
	}()
	stopping, stop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer stop()
	if err := app.Stop(stopping); err != nil {
		lg.Error().Str("error", err.Error()).Msg("stop_failed")
		return ExitError
	}
	return ExitOK
}

// awaitStop waits for a signal to stop. A signal to reload is logged: settings are in
// force for the life of a process, what operators change comes through the log.
func awaitStop(signals, reloads <-chan os.Signal, lg zerolog.Logger) os.Signal {
	for {
		select {
		case si := <-signals:
			return si
		case <-reloads:
			lg.Info().Msg("reload_requested")
		}
	}
}

// ReadSettings reads a settings file, or prints why it cannot be read and returns false.
func ReadSettings(file string, stderr io.Writer) ([]byte, bool) {
	data, err := os.ReadFile(file)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%v; name a readable file with --settings\n", err)
		return nil, false
	}
	return data, true
}
