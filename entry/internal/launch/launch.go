package launch

import (
	"fmt"
	"io"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/logs"
	"github.com/bambooladder/bambooladder/core/proc"
	"github.com/bambooladder/bambooladder/entry/node"
)

// version is set by the linker when the program is built for a release. Otherwise it keeps this
// value.
var version = "development"

// Main runs an entry node until it is stopped and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	pr := proc.Program{Name: "entry", Description: "An entry node: callers' and operators' HTTP, routing, retries and claims.", Version: version}
	fs, code, done := pr.Parse(args, stdout, stderr)
	if done {
		return code
	}
	data, ok := proc.ReadSettings(fs.SettingsFile, stderr)
	if !ok {
		return proc.ExitSettings
	}
	se, err := conf.ParseEntry(fs.SettingsFile, data)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", pr.Name, err)
		return proc.ExitSettings
	}
	if fs.Check {
		_, _ = fmt.Fprintf(stdout, "%s: the settings are valid\n", fs.SettingsFile)
		return proc.ExitOK
	}
	lg := logs.New(stderr, fs.Level, pr.Name, se.Place.Name)
	return proc.Serve(node.New(node.Options{Settings: se, Network: &proc.Network{}, Logger: lg, Seed: uint64(time.Now().UnixNano())}), lg)
}
