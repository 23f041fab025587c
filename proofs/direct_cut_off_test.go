package proofs

import (
	"testing"
	"time"
)

const (
	// cutOffSeeds is the number of seeds of callers and breaks that each case is played with.
	cutOffSeeds = 4
	// cutOffLasts is how long an entry node is cut off.
	cutOffLasts = 8 * time.Second
)

// cutOffCase is what an entry node loses while its engines start again in place at another software version.
type cutOffCase struct{ agents, servers, log bool }

// plan returns the plan of a case: the other entry node keeps its agents, which load adapters at the new runs.
func (tc cutOffCase) plan(seed uint64) drawnPlan {
	plan := drawnPlan{Seed: seed, Entries: 2, Plain: 1, Callers: 20, Engines: []string{"v1", "v1", "v1", "v1"}, Breaks: 0.5}
	if tc.log {
		plan.Faults = append(plan.Faults, timedFault{At: time.Second, Fault: loseLog{Lasts: cutOffLasts}})
	}
	for ix := range plan.Engines {
		at := 2*time.Second + time.Duration(ix)*500*time.Millisecond
		plan.Faults = append(plan.Faults, timedFault{At: at, Fault: restartServer{Server: engineName(ix), Downtime: 20 * time.Millisecond, Software: "v2"}})
		if tc.agents {
			co := cutOff{Entry: "entry-1", Server: engineName(ix), AgentAlone: !tc.servers, Lasts: cutOffLasts}
			plan.Faults = append(plan.Faults, timedFault{At: time.Second, Fault: co})
		}
	}
	return plan
}

// An entry node learns neither from agents nor from the log that servers have started again at another software version. It
// must not let streams go on there.
func TestDirectNodeThatIsCutOffLetsNoStreamGoOnAtAnotherVersion(t *testing.T) {
	for name, tc := range map[string]cutOffCase{
		"cut off from nothing":             {},
		"from agents":                      {agents: true},
		"from agents and servers":          {agents: true, servers: true},
		"from the log":                     {log: true},
		"from agents and the log":          {agents: true, log: true},
		"from agents, servers and the log": {agents: true, servers: true, log: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= cutOffSeeds; seed++ {
				dh := playPlan(t, tc.plan(seed))
				for _, df := range dh.check() {
					t.Errorf("seed %d: %s: %s\n%s", seed, df.rule, df.text, dh.describe(df.ask))
				}
			}
		})
	}
}
