// Command rig plays one case of the review: it starts the project's programs and stand-ins of what surrounds them, brings
// about one disruption and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// scenarios maps the names of the cases to what plays them; it returns whether the rule was broken.
var scenarios = map[string]func(sc *scene) (bool, error){"weights": playWeights, "settled": playSettled, "listing": playListing, "rolling": playRolling}

// scene is what a case is played with.
type scene struct {
	program, dir string
	record       *Record
	trouble      bool
	sy           *System
}

func main() {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "target/platform", "the project's program")
	file := flag.String("record", "record.txt", "where to record what happens")
	flag.Parse()
	broken, err := play(*name, *program, *file)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func play(name, program, file string) (bool, error) {
	fn := scenarios[name]
	if fn == nil {
		return false, fmt.Errorf("no case %q", name)
	}
	if _, err := os.Stat(program); err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rc, err := NewRecord(file)
	if err != nil {
		return false, err
	}
	sc := &scene{program: program, dir: dir, record: rc, trouble: os.Getenv("TROUBLE") != "0"}
	rc.Add("case %s, trouble %v", name, sc.trouble)
	defer func() {
		if sc.sy != nil {
			sc.sy.KillAll()
		}
	}()
	broken, err := fn(sc)
	rc.Add("broken %v, error %v", broken, err)
	return broken, err
}

// begin starts the system of a plan with a manifest and waits until it is ready.
func (sc *scene) begin(pl *Plan, route map[string]any) error {
	sy, err := NewSystem(sc.program, sc.dir, sc.record, pl)
	if err != nil {
		return err
	}
	sc.sy = sy
	sy.Configure(2, route)
	if err := sy.StartAll(); err != nil {
		return err
	}
	go sy.vip.Run()
	for end := time.Now().Add(15 * time.Second); !sy.vip.Ready(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the entry nodes are not ready")
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// streamRoute returns a route of streams.
func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-hh2b9wu", "host": "ficu95.example", "path_prefix": "/pufi791/", "kind": "stream", "timeout_ms": 15000, "target_latency_ms": 1000,
		"priority": 1, "service": serviceName, "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 400,
	}
}
