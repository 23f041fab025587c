package launch

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/agent/node"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/logs"
	"github.com/bambooladder/bambooladder/core/proc"
)

// version is set when the program is built.
var version = "development"

const (
	program = "agent"
	about   = "An agent: gives one backend server its orders and forwards requests to it."
)

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New(program, about)
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	ended := false
	app.Terminate(func(int) { ended = true })
	app.Version(version)
	file := app.Flag("settings", "Settings file, in YAML.").Required().String()
	check := app.Flag("check", "Check the settings file and exit.").Bool()
	level := app.Flag("log-level", "Lowest level that is logged.").Default("info").Enum("debug", "info", "warn", "error")
	_, err := app.Parse(args)
	if ended {
		return proc.ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v; see %s --help\n", program, err, program)
		return proc.ExitUsage
	}
	data, ok := proc.ReadSettings(*file, stderr)
	if !ok {
		return proc.ExitSettings
	}
	se, err := conf.ParseAgent(*file, data)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return proc.ExitSettings
	}
	if *check {
		_, _ = fmt.Fprintf(stdout, "%s: the settings are valid\n", *file)
		return proc.ExitOK
	}
	lv, _ := zerolog.ParseLevel(*level)
	lg := logs.New(stderr, lv, program, se.Place.Name)
	return proc.Serve(node.New(node.Options{Settings: se, Network: &proc.Network{}, Logger: lg}), lg)
}
