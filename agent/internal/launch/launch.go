package launch

import (
	"fmt"
	"io"

	"github.com/bambooladder/bambooladder/agent/node"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/logs"
	"github.com/bambooladder/bambooladder/core/proc"
)

// version is the version of the program, which the linker sets.
var version = "development"

// Main runs the program with the arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	pr := proc.Program{Name: "agent", Description: "An agent: gives one backend server its orders and forwards requests to it.", Version: version}
	fs, code, mustExit := pr.Parse(args, stdout, stderr)
	if mustExit {
		return code
	}
	data, ok := proc.ReadSettings(fs.SettingsFile, stderr)
	if !ok {
		return proc.ExitSettings
	}
	se, err := conf.ParseAgent(fs.SettingsFile, data)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", pr.Name, err)
		return proc.ExitSettings
	}
	if fs.Check {
		_, _ = fmt.Fprintf(stdout, "%s: the settings are valid\n", fs.SettingsFile)
		return proc.ExitOK
	}
	lg := logs.New(stderr, fs.Level, pr.Name, se.Place.Name)
	return proc.Serve(node.New(node.Options{Settings: se, Network: &proc.Network{}, Logger: lg}), lg)
}
