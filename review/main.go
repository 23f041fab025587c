// Package main plays one scripted case of the review: it starts the project's programs beside stand-ins, makes
// the disruption unless TROUBLE is 0, and checks the rule by what callers and servers saw.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/bambooladder/bambooladder/review/sim"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case, so that it ends within the time that a script may take.
const caseTimeout = 110 * time.Second

// play is a case in progress.
type play struct {
	sy *sim.System
	re *sim.Record
	// trouble is false if the disruption is left out.
	trouble bool
}

// cases maps the names of the cases to what plays them. Each one returns the number of times that the rule was
// broken.
var cases = map[string]func(ctx context.Context, pl *play) (int, error){
	"version": playVersion,
	"stop":    playStop,
	"drain":   playDrain,

	"refused": playRefused,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case named by the first argument and writes the record to the folder named by the second one.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE FOLDER, in the project's folder")
		return exitNotRun
	}
	re, err := sim.NewRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := playCase(cases[args[0]], re)
	code := exitHeld
	switch {
	case err != nil:
		re.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	case broken > 0:
		code = exitBroken
	}
	re.Printf("the rule was broken %d times; exit code %d", broken, code)
	fmt.Printf("%s: the rule was broken %d times; exit code %d\n", args[0], broken, code)
	if err := re.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// playCase plays a case and ends all its processes.
func playCase(fn func(ctx context.Context, pl *play) (int, error), re *sim.Record) (int, error) {
	repo, err := os.Getwd()
	if err != nil {
		return 0, fmt.Errorf("find the project's folder: %w", err)
	}
	sy, err := sim.NewSystem(repo, re)
	if err != nil {
		return 0, err
	}
	defer sy.Close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	return fn(ctx, &play{sy: sy, re: re, trouble: os.Getenv("TROUBLE") != "0"})
}
