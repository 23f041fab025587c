package proc

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
)

// Program describes a program for its help text and its error messages.
type Program struct {
	Name        string
	Description string
	Version     string
}

// Flags holds the command line flags that all server programs have.
type Flags struct {
	// SettingsFile is the path of the settings file.
	SettingsFile string
	// Check is true if the program must only validate the settings file and exit.
	Check bool
	// Level is the minimum level of logged events.
	Level zerolog.Level
}

// Parse parses the command line. If it returns true, the program must exit with the returned exit
// code, because help or the version was requested or a flag is invalid.
func (pr Program) Parse(args []string, stdout, stderr io.Writer) (Flags, int, bool) {
	app := kingpin.New(pr.Name, pr.Description)
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	app.Version(pr.Version)
	fs, levelName := Flags{}, ""
	app.Flag("settings", "Settings file, in YAML.").Required().StringVar(&fs.SettingsFile)
	app.Flag("check", "Check the settings file and exit.").BoolVar(&fs.Check)
	app.Flag("log-level", "Lowest level that is logged.").Default("info").EnumVar(&levelName, "debug", "info", "warn", "error")
	_, err := app.Parse(args)
	if terminated {
		return fs, ExitOK, true
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v; see %s --help\n", pr.Name, err, pr.Name)
		return fs, ExitUsage, true
	}
	fs.Level, _ = zerolog.ParseLevel(levelName)
	return fs, ExitOK, false
}
