package proc

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
)

// Program names a program in its help and messages.
type Program struct {
	Name    string
	About   string
	Version string
}

// Flags are the options that every server takes.
type Flags struct {
	// File is the settings file.
	File string
	// Check asks to check the settings file and exit.
	Check bool
	// Level is the lowest level that is logged.
	Level zerolog.Level
}

// Parse reads the command line. The exit code counts where the program is to end,
// because it was asked for help or its version, or because an option is wrong.
func (pr Program) Parse(args []string, stdout, stderr io.Writer) (Flags, int, bool) {
	app := kingpin.New(pr.Name, pr.About)
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	ended := false
	app.Terminate(func(int) { ended = true })
	app.Version(pr.Version)
	fs, level := Flags{}, ""
	app.Flag("settings", "Settings file, in YAML.").Required().StringVar(&fs.File)
	app.Flag("check", "Check the settings file and exit.").BoolVar(&fs.Check)
	app.Flag("log-level", "Lowest level that is logged.").Default("info").EnumVar(&level, "debug", "info", "warn", "error")
	_, err := app.Parse(args)
	if ended {
		return fs, ExitOK, true
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v; see %s --help\n", pr.Name, err, pr.Name)
		return fs, ExitUsage, true
	}
	fs.Level, _ = zerolog.ParseLevel(level)
	return fs, ExitOK, false
}
