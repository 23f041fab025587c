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

// version is set by the linker.
var version = "development"

const (
	programName = "ctl"

	// exitConflict is the exit code if a subtree was changed by someone else in the meantime.
	exitConflict = 4
)

// command holds the parsed command line, the outputs and the API client of a command.
type command struct {
	stdout io.Writer
	stderr io.Writer
	// settingsFile is the path of the file with ctl's own settings, empty for none.
	settingsFile string
	adminURL     string
	token        string
	// treeFile is the path of the file with the settings of the deployment.
	treeFile string
	// subtreePath is the subtree that get prints, empty for all.
	subtreePath string
	// prune is true if subtrees that the file lacks are removed by apply and shown by diff.
	prune  bool
	client *remote.Client
}

// Main runs a command and returns the exit code: 0 for success, 1 for a failure, 2 for an invalid
// command line, 3 for an invalid or unreadable settings file, ctl's own or the deployment's, and 4 for
// a conflict with another change.
func Main(args []string, stdout, stderr io.Writer) int {
	co := &command{stdout: stdout, stderr: stderr}
	app := kingpin.New(programName, "The operators' command line: shows and changes the settings of a deployment.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	app.Version(version)
	co.defineCommandLine(app)
	name, err := app.Parse(args)
	if terminated {
		return proc.ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v; see %s --help\n", programName, err, programName)
		return proc.ExitUsage
	}
	if err := co.createClient(); err != nil {
		return co.exitCode(err)
	}
	return co.exitCode(co.run(context.Background(), name))
}

// defineCommandLine defines the flags and commands.
func (co *command) defineCommandLine(app *kingpin.Application) {
	app.Flag("settings", "Settings file with admin_url and token, in YAML.").StringVar(&co.settingsFile)
	app.Flag("admin", "Administration address of an entry node, as a URL.").Envar("BAMBOOLADDER_ADMIN").StringVar(&co.adminURL)
	app.Flag("token", "Operator's bearer token.").Envar("BAMBOOLADDER_TOKEN").StringVar(&co.token)
	apply := app.Command("apply", "Change the settings to those of a file and wait until they are accepted.")
	apply.Flag("file", "Settings tree, in YAML.").Short('f').Required().StringVar(&co.treeFile)
	apply.Flag("prune", "Remove subtrees that the file lacks.").BoolVar(&co.prune)
	diff := app.Command("diff", "Show what apply would change.")
	diff.Flag("file", "Settings tree, in YAML.").Short('f').Required().StringVar(&co.treeFile)
	diff.Flag("prune", "Show subtrees that the file lacks.").BoolVar(&co.prune)
	check := app.Command("check", "Check a settings tree without a deployment.")
	check.Flag("file", "Settings tree, in YAML.").Short('f').Required().StringVar(&co.treeFile)
	get := app.Command("get", "Show the accepted settings.")
	get.Arg("path", "Subtree to show, as in teams/recipe.").StringVar(&co.subtreePath)
	app.Command("history", "Show recent changes and what became of them.")
	app.Command("status", "Show which settings are in force on which nodes.")
	app.Command("token", "Make a bearer token and print it with its hash.")
}

// createClient creates the API client. It takes the address and the token from the settings file
// if they are given neither as flags nor in the environment.
func (co *command) createClient() error {
	if co.settingsFile != "" {
		data, ok := proc.ReadSettings(co.settingsFile, co.stderr)
		if !ok {
			return &conf.FileError{File: co.settingsFile, Line: 1, Column: 1, Detail: "the file cannot be read", Remedy: "name a readable file"}
		}
		cs, err := conf.ParseCtl(co.settingsFile, data)
		if err != nil {
			return err
		}
		if co.adminURL == "" {
			co.adminURL = cs.AdminURL
		}
		if co.token == "" {
			co.token = cs.Token
		}
	}
	co.client = remote.NewClient(co.adminURL, co.token)
	return nil
}

// run runs the command with the given name.
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

// exitCode prints an error, if there is one, and returns the exit code for it.
func (co *command) exitCode(err error) int {
	if err == nil {
		return proc.ExitOK
	}
	_, _ = fmt.Fprintf(co.stderr, "%s: %v\n", programName, err)
	fi, fe := &conf.FileError{}, &fault.Error{}
	switch {
	case errors.As(err, &fi):
		return proc.ExitSettings
	case errors.As(err, &fe) && fe.Kind == fault.Conflict:
		return exitConflict
	}
	return proc.ExitError
}
