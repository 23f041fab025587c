package proofs

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// cutOffSeeds is the number of seeds of callers and breaks that each case is played with, cutOffSeedsMore that of a case
	// in which few streams come to the two nodes in the order that matters.
	cutOffSeeds     = 4
	cutOffSeedsMore = 16
	// cutOffLasts is how long an entry node is cut off.
	cutOffLasts = 8 * time.Second
)

// cutOffCase is what an entry node loses while its engines start again in place at another software version, the last ones
// aside that stay.
type cutOffCase struct {
	agents, servers, log bool
	stay                 int
	// seeds is the number of seeds, zero for cutOffSeeds.
	seeds uint64
}

// plan returns the plan of a case: the other entry node keeps its agents, which load adapters at the new runs.
func (tc cutOffCase) plan(seed uint64) drawnPlan {
	plan := drawnPlan{Seed: seed, Entries: 2, Plain: 1, Callers: 20, Engines: []string{"v1", "v1", "v1", "v1"}, Breaks: 0.5}
	if tc.log {
		plan.Faults = append(plan.Faults, timedFault{At: time.Second, Fault: loseLog{Lasts: cutOffLasts}})
	}
	for ix := range plan.Engines {
		if tc.agents {
			co := cutOff{Entry: "entry-1", Server: engineName(ix), AgentAlone: !tc.servers, Lasts: cutOffLasts}
			plan.Faults = append(plan.Faults, timedFault{At: time.Second, Fault: co})
		}
		if ix >= len(plan.Engines)-tc.stay {
			continue
		}
		at := 2*time.Second + time.Duration(ix)*500*time.Millisecond
		plan.Faults = append(plan.Faults, timedFault{At: at, Fault: restartServer{Server: engineName(ix), Downtime: 20 * time.Millisecond, Software: "v2"}})
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
		// A stream that begins at a new run must not go on at a server that stayed.
		"from agents, two stay":             {agents: true, stay: 2},
		"from the log, two stay":            {log: true, stay: 2},
		"from agents and the log, two stay": {agents: true, log: true, stay: 2, seeds: cutOffSeedsMore},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= max(cutOffSeeds, tc.seeds); seed++ {
				dh := playPlan(t, tc.plan(seed))
				for _, df := range dh.check() {
					t.Errorf("seed %d: %s: %s\n%s", seed, df.rule, df.text, dh.describe(df.ask))
				}
			}
		})
	}
}

const (
	// beginSeeds is the number of deployments of the test below.
	beginSeeds = 10
	// beginAsks is the number of streams that a caller asks for while its entry node is cut off.
	beginAsks = 20
)

// A stream that begins at a server that has started again at another software version, of which its entry node does not
// know, must not go on at a server of the version before.
func TestDirectNodeThatIsCutOffLetsNoStreamGoOnThatBeganAtAnotherVersion(t *testing.T) {
	began := 0
	for seed := uint64(1); seed <= beginSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) { began += beginStreamsCutOff(t, seed) })
	}
	if began < beginSeeds {
		t.Errorf("only %d streams began at servers that had started again", began)
	}
}

// beginStreamsCutOff asks an entry node that is cut off for streams, and returns how many began at the server that has started
// again.
func beginStreamsCutOff(t *testing.T, seed uint64) int {
	t.Helper()
	dw := newDrawnWorld(t, drawnPlan{Seed: seed, Entries: 1, Plain: 1, Engines: []string{"v1", "v1"}})
	defer dw.ds.close()
	dc := dw.newDrawnCaller(0)
	defer dc.client.CloseIdleConnections()
	rq := drawnRequest{target: "/stream/x?name=s&length=10&period=50", adapter: "a0", timeout: 4 * time.Second}
	dw.cutOffAndRestart(rq.adapter)
	began := 0
	for number := range beginAsks {
		dr := dc.send(t.Context(), rq, fmt.Sprintf("s-%d", number), "", 0)
		da := drawnAsk{name: "s", kind: askStream, length: 10, replies: []drawnReply{dr}}
		if text := checkMixed(nil, &da); text != "" {
			t.Errorf("seed %d: %s", seed, text)
		}
		if len(dr.events) > 0 && dr.events[0].software == "v2" {
			began++
		}
	}
	return began
}

// cutOffAndRestart cuts the first entry node off from the log and from agents until the end, and starts the first engine again
// with an adapter loaded, at another software version, whose streams break. The others have the adapter too.
func (dw *drawnWorld) cutOffAndRestart(adapter string) {
	for ix := range dw.plan.Engines {
		dw.server(engineName(ix)).load(adapter)
	}
	time.Sleep(settleTime)
	dw.ds.source.setDown(true)
	_, host := dw.entry("entry-1")
	for ix := range dw.plan.Engines {
		dw.ds.net.partition(host, agentHost(engineName(ix)))
	}
	time.Sleep(cutOffLasts)
	restartServer{Server: engineName(0), Downtime: 20 * time.Millisecond, Software: "v2"}.happen(dw)
	sv := dw.server(engineName(0))
	sv.load(adapter)
	sv.setFault(&answersFault{Share: 1, Way: cutAnswers{}}, true)
}

// load makes a server hold an adapter.
func (sv *drawnServer) load(adapter string) {
	sv.ba.mu.Lock()
	defer sv.ba.mu.Unlock()
	sv.ba.loaded[adapter] = 1
}
