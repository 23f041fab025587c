package proc

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// signalSelf sends a signal to this process and gives it time to arrive.
func signalSelf(t *testing.T, si syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), si); err != nil {
		t.Error(err)
	}
	time.Sleep(20 * time.Millisecond)
}

// A reload signal that comes while a program starts or stops must not end it.
func TestReloadSignalNeverEndsTheProgram(t *testing.T) {
	app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error {
				signalSelf(t, syscall.SIGHUP)
				go signalSelf(t, syscall.SIGTERM)
				return nil
			},
			OnStop: func(context.Context) error {
				signalSelf(t, syscall.SIGHUP)
				return nil
			},
		})
	}))
	if code := Serve(app, zerolog.Nop()); code != ExitOK {
		t.Errorf("exit code %d, want %d", code, ExitOK)
	}
}
