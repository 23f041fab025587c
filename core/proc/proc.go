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
	ExitError    = 1 // the program failed
	ExitUsage    = 2 // the command line is invalid
	ExitSettings = 3 // a settings file cannot be read or is invalid
)

const (
	startTimeout = 15 * time.Second
	// dialTimeout limits the time spent on a host that does not answer.
	dialTimeout = 2 * time.Second
)

// Network is the real network of the host, for code that takes its network as an interface.
type Network struct{}

// DialContext opens a connection and waits at most dialTimeout for it.
func (*Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	co, err := dialer.DialContext(ctx, network, address)
	return co, errors.Wrapf(err, "proc: dial %s", address)
}

// Listen returns a listener for TCP connections on the address.
func (*Network) Listen(address string) (net.Listener, error) {
	ls, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return ls, errors.Wrapf(err, "proc: listen on %s", address)
}

// Serve starts an application, waits for an interrupt or SIGTERM, stops the application and returns
// the exit code. Further signals during the stop are logged and ignored, so that they don't
// interrupt the draining of requests.
func Serve(app *fx.App, lg zerolog.Logger) int {
	if err := app.Err(); err != nil {
		lg.Error().Str("error", err.Error()).Msg("build_failed")
		return ExitError
	}
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(stopSignals)
	// A signal that nobody has asked for ends the process, so this comes before the start.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		lg.Error().Str("error", err.Error()).Msg("start_failed")
		return ExitError
	}
	lg.Info().Str("signal", awaitStop(stopSignals, reloadSignals, lg).String()).Msg("stop_requested")
	go func() {
		for si := range stopSignals {
			lg.Warn().Str("signal", si.String()).Msg("already_stopping")
		}
	}()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		lg.Error().Str("error", err.Error()).Msg("stop_failed")
		return ExitError
	}
	return ExitOK
}

// awaitStop waits for a stop signal and returns it. A reload signal is only logged: the settings
// file is read once at the start, and changes by operators arrive through the platform's log.
func awaitStop(stopSignals, reloadSignals <-chan os.Signal, lg zerolog.Logger) os.Signal {
	for {
		select {
		case si := <-stopSignals:
			return si
		case <-reloadSignals:
			lg.Info().Msg("reload_requested")
		}
	}
}

// ReadSettings reads a settings file. If that fails, it prints the error to stderr and returns
// false.
func ReadSettings(file string, stderr io.Writer) ([]byte, bool) {
	data, err := os.ReadFile(file)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%v; name a readable file with --settings\n", err)
		return nil, false
	}
	return data, true
}
