package launch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/stand/engine"
	"github.com/bambooladder/bambooladder/stand/faulty"
	"github.com/bambooladder/bambooladder/stand/hostls"
	"github.com/bambooladder/bambooladder/stand/logsvc"
	"github.com/bambooladder/bambooladder/stand/plain"
	"github.com/bambooladder/bambooladder/stand/weight"
)

const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2

	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// options holds the parsed command line.
type options struct {
	listen           string
	appendsPerSecond float64
	retention        time.Duration
	hostsLag         time.Duration
	hostsFile        string
	loadsPerSecond   float64
	storeURL         string
	engine           engine.Options
	serviceName      string
	serviceDelay     time.Duration
	answerMode       string
}

// Main runs the simulated system that the arguments name until a signal arrives, and returns the
// exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	op := &options{}
	app := kingpin.New("stand", "Small stand-ins for the platform, an engine and a plain service.")
	app.Terminate(nil)
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.Flag("listen", "Address to serve on.").Required().StringVar(&op.listen)
	lo := app.Command("log", "The append-only log service.")
	lo.Flag("appends", "Appends allowed a second.").Default("300").Float64Var(&op.appendsPerSecond)
	lo.Flag("retention", "Time that records are kept.").Default("24h").DurationVar(&op.retention)
	ho := app.Command("hosts", "The list of hosts.")
	ho.Flag("lag", "Time until a change shows.").Default("5s").DurationVar(&op.hostsLag)
	ho.Flag("file", "JSON file with the first hosts.").Required().StringVar(&op.hostsFile)
	we := app.Command("store", "The weight store.")
	we.Flag("loads", "Loads allowed a second.").Default("4").Float64Var(&op.loadsPerSecond)
	en := app.Command("engine", "A model engine.")
	op.addEngineFlags(en)
	op.addAnswerMode(en)
	se := app.Command("service", "A plain service.")
	se.Flag("name", "Name of the service.").Required().StringVar(&op.serviceName)
	se.Flag("delay", "Time of one call.").Default("5ms").DurationVar(&op.serviceDelay)
	op.addAnswerMode(se)
	command, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "stand: %v; see stand --help\n", err)
		return exitUsage
	}
	if command == "" {
		return exitOK
	}
	if err := op.serve(command); err != nil {
		_, _ = fmt.Fprintf(stderr, "stand: %v\n", err)
		return exitError
	}
	return exitOK
}

// addAnswerMode adds the flag for the way in which a backend server sends its answers.
func (op *options) addAnswerMode(cc *kingpin.CmdClause) {
	help := "How answers are sent; PUT " + faulty.ModePath + "MODE changes it."
	cc.Flag("answers", help).Default(string(faulty.Sound)).EnumVar(&op.answerMode, faulty.ModeNames()...)
}

// addEngineFlags declares the flags of the engine command.
func (op *options) addEngineFlags(cc *kingpin.CmdClause) {
	cc.Flag("name", "Name of the engine.").Required().StringVar(&op.engine.Name)
	cc.Flag("model", "Base model.").Default("base").StringVar(&op.engine.Model)
	cc.Flag("slots", "Adapter slots.").Default("4").IntVar(&op.engine.Slots)
	cc.Flag("places", "Requests run together.").Default("8").IntVar(&op.engine.BatchSize)
	cc.Flag("fencing", "Refuse orders with an old fencing token.").BoolVar(&op.engine.ChecksFencing)
	cc.Flag("step", "Time of one decoding step.").Default("10ms").DurationVar(&op.engine.StepTime)
	cc.Flag("step-per-request", "Time added to a step for each request.").Default("500us").DurationVar(&op.engine.StepTimePerRequest)
	cc.Flag("prefill", "Time of one prompt token.").Default("200us").DurationVar(&op.engine.PrefillPerToken)
	cc.Flag("report-lag", "Age of the reported load.").Default("500ms").DurationVar(&op.engine.ReportLag)
	cc.Flag("cold-start", "Time without answers after a crash.").Default("3s").DurationVar(&op.engine.ColdStart)
	cc.Flag("software", "Version of the engine's software that its answers name.").StringVar(&op.engine.Software)
	cc.Flag("crash-word", "Word in a prompt that crashes the engine.").StringVar(&op.engine.CrashWord)
	cc.Flag("store", "URL of the weight store.").Required().StringVar(&op.storeURL)
}

// serve runs the HTTP server of a command until an interrupt or termination signal arrives.
func (op *options) serve(command string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	handler, err := op.handler(ctx, command)
	if err != nil {
		return err
	}
	sv := &http.Server{Addr: op.listen, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- sv.ListenAndServe() }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = sv.Shutdown(shutdownCtx)
	return nil
}

// handler builds the simulated system of a command and returns its HTTP interface.
func (op *options) handler(ctx context.Context, command string) (http.Handler, error) {
	switch command {
	case "log":
		return logsvc.New(op.appendsPerSecond, op.retention).Handler(), nil
	case "hosts":
		return op.hosts()
	case "store":
		return weight.New(op.loadsPerSecond).Handler(), nil
	case "engine":
		en := engine.New(op.engine, engine.HTTPStore{Client: reply.NewClient(&http.Transport{}), URL: op.storeURL})
		go en.Run(ctx)
		return faulty.New(en.Handler(), faulty.Mode(op.answerMode)), nil
	}
	return faulty.New(plain.New(op.serviceName, op.serviceDelay).Handler(), faulty.Mode(op.answerMode)), nil
}

// hosts builds the host list from the hosts file and returns its HTTP interface.
func (op *options) hosts() (http.Handler, error) {
	data, err := os.ReadFile(op.hostsFile)
	if err != nil {
		return nil, fmt.Errorf("read hosts file: %w", err)
	}
	hosts := []hostls.Host{}
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, fmt.Errorf("parse hosts file %s: %w", op.hostsFile, err)
	}
	li := hostls.New(op.hostsLag)
	for _, ho := range hosts {
		li.Seed(ho)
	}
	return li.Handler(), nil
}
