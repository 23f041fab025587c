package launch

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/proc"
	"github.com/bambooladder/bambooladder/ctl/internal/remote"
)

// version is set when the program is built.
var version = "development"

const (
	program = "ctl"

	exitConflict = 4
)

// command holds the parsed command line and what commands need.
type command struct {
	stdout   io.Writer
	stderr   io.Writer
	settings string
	admin    string
	token    string
	file     string
	path     string
	prune    bool
	rm       *remote.Remote
}

// Main runs a command and returns the exit code: 0 done, 1 failed, 2 usage, 3 settings file, 4 conflict.
func Main(args []string, stdout, stderr io.Writer) int {
	co := &command{stdout: stdout, stderr: stderr}
	app := kingpin.New(program, "The operators' command line: shows and changes the settings of a deployment.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	ended := false
	app.Terminate(func(int) { ended = true })
	app.Version(version)
	co.declare(app)
	name, err := app.Parse(args)
	if ended {
		return proc.ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v; see %s --help\n", program, err, program)
		return proc.ExitUsage
	}
	if err := co.connect(); err != nil {
		return co.fail(err)
	}
	return co.fail(co.run(context.Background(), name))
}

// declare declares the flags and commands.
func (co *command) declare(app *kingpin.Application) {
	app.Flag("settings", "Settings file with admin_url and token, in YAML.").StringVar(&co.settings)
	app.Flag("admin", "Administration address of an entry node, as a URL.").Envar("BAMBOOLADDER_ADMIN").StringVar(&co.admin)
	app.Flag("token", "Operator's bearer token.").Envar("BAMBOOLADDER_TOKEN").StringVar(&co.token)
	apply := app.Command("apply", "Change the settings to those of a file and wait until they are accepted.")
	apply.Flag("file", "Settings tree, in YAML.").Short('f').Required().StringVar(&co.file)
	apply.Flag("prune", "Remove subtrees that the file lacks.").BoolVar(&co.prune)
	diff := app.Command("diff", "Show what apply would change.")
	diff.Flag("file", "Settings tree, in YAML.").Short('f').Required().StringVar(&co.file)
	diff.Flag("prune", "Show subtrees that the file lacks.").BoolVar(&co.prune)
	check := app.Command("check", "Check a settings tree without a deployment.")
	check.Flag("file", "Settings tree, in YAML.").Short('f').Required().StringVar(&co.file)
	get := app.Command("get", "Show the accepted settings.")
	get.Arg("path", "Subtree to show, as in teams/recipe.").StringVar(&co.path)
	app.Command("history", "Show recent changes and what became of them.")
	app.Command("status", "Show which settings are in force on which nodes.")
	app.Command("token", "Make a bearer token and print it with its hash.")
}

// connect takes address and token from the settings file where the flags are silent.
func (co *command) connect() error {
	if co.settings != "" {
		data, ok := proc.ReadSettings(co.settings, co.stderr)
		if !ok {
			return &conf.FileError{File: co.settings, Line: 1, Column: 1, Detail: "the file cannot be read", Remedy: "name a readable file"}
		}
		cs, err := conf.ParseCtl(co.settings, data)
		if err != nil {
			return err
		}
		if co.admin == "" {
			co.admin = cs.AdminURL
		}
		if co.token == "" {
			co.token = cs.Token
		}
	}
	co.rm = remote.NewRemote(co.admin, co.token)
	return nil
}

// run runs the named command.
func (co *command) run(ctx context.Context, name string) error {
	switch name {
	case "apply":
		return co.apply(ctx)
	case "diff":
		return co.diff(ctx)
	case "check":
		return co.check()
	case "get":
		return co.get(ctx)
	case "history":
		return co.history(ctx)
	case "status":
		return co.status(ctx)
	}
	return co.makeToken()
}

// fail prints an error and returns the exit code that fits it.
func (co *command) fail(err error) int {
	if err == nil {
		return proc.ExitOK
	}
	_, _ = fmt.Fprintf(co.stderr, "%s: %v\n", program, err)
	pr, fe := &conf.FileError{}, &fault.Error{}
	switch {
	case errors.As(err, &pr):
		return proc.ExitSettings
	case errors.As(err, &fe) && fe.Kind == fault.Conflict:
		return exitConflict
	}
	return proc.ExitError
}
