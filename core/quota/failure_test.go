package quota

import (
	"fmt"
	"testing"
	"time"
)

// restartKeeper replaces the keeper by one that knows nothing, after a time in which no node has one.
func (wo *world) restartKeeper(downtime time.Duration) {
	wo.keeper.silent = true
	wo.keeper = &keeperRun{boot: wo.keeper.boot + "+"}
	for ix, no := range wo.nodes {
		no.keeper = nil
		// Nodes notice at different times that the agent is back.
		wo.after(downtime+time.Duration(ix)*20*time.Millisecond, func() { no.keeper = wo.keeper })
	}
}

// cutOff cuts nodes off from the keeper, which notices that when their connections fall silent.
func (wo *world) cutOff(count int, period time.Duration) {
	const silence = 3 * time.Second
	for _, no := range wo.nodes[:count] {
		no.cutOff = true
		wo.after(silence, func() { no.keeper = nil })
		wo.after(period, func() { no.cutOff, no.keeper = false, wo.keeper })
	}
	wo.after(silence, func() { wo.keeper.withheld = max(0, float64(count)/float64(len(wo.nodes))-0.05) })
	wo.after(period, func() { wo.keeper.withheld = 0 })
}

// failures bring about one failure each.
var failures = map[string]func(wo *world){
	"the keeper dies before it answers, and starts again": func(wo *world) {
		wo.keeper.losesAnswers = true
		wo.after(20*time.Millisecond, func() { wo.restartKeeper(5 * time.Second) })
	},
	"answers are lost": func(wo *world) {
		wo.keeper.losesAnswers = true
		wo.after(3*time.Second, func() { wo.keeper.losesAnswers = false })
	},
	"one node is cut off":      func(wo *world) { wo.cutOff(1, 20*time.Second) },
	"ten nodes are cut off":    func(wo *world) { wo.cutOff(10, 20*time.Second) },
	"all nodes are cut off":    func(wo *world) { wo.cutOff(30, 20*time.Second) },
	"the keeper freezes":       func(wo *world) { wo.keeper.silent = true; wo.after(4*time.Second, func() { wo.keeper.silent = false }) },
	"the agent restarts":       func(wo *world) { wo.restartKeeper(300 * time.Millisecond) },
	"the keeper does not come": func(wo *world) { wo.restartKeeper(time.Hour) },
	"ten nodes freeze with leases": func(wo *world) {
		for _, no := range wo.nodes[:10] {
			no.frozen = true
			wo.after(4*time.Second, func() { wo.thaw(no) })
		}
	},
	"all nodes restart": func(wo *world) {
		for _, no := range wo.nodes {
			no.holder, no.down, no.keeper = Holder{}, true, nil
			wo.after(time.Second, func() { no.down = false })
			wo.after(1100*time.Millisecond, func() { no.keeper = wo.keeper })
		}
	},
	"all nodes are killed one after the other": func(wo *world) {
		for ix, no := range wo.nodes {
			wo.after(time.Duration(ix)*100*time.Millisecond, func() { no.holder = Holder{} })
		}
	},
	"agents and nodes restart at once": func(wo *world) {
		wo.restartKeeper(500 * time.Millisecond)
		for _, no := range wo.nodes {
			no.holder, no.down = Holder{}, true
			wo.after(300*time.Millisecond, func() { no.down = false })
		}
	},
	"nodes are added": func(wo *world) {
		for range 10 {
			wo.nodes = append(wo.nodes, &entryNode{limit: wo.limit, keeper: wo.keeper})
		}
	},
	"the keeper changes, and half of the nodes know it later": func(wo *world) {
		next := &keeperRun{boot: "next"}
		for ix, no := range wo.nodes {
			wo.after(time.Duration(ix%2)*2*time.Second, func() { no.keeper = next })
		}
		wo.keeper = next
	},
}

// Each failure strikes while one organisation sends 7.5 times what it may, or when it begins to do so and its account is
// full. The limit must be kept.
func TestLimitIsKeptInFailures(t *testing.T) {
	for _, li := range limits {
		for name, fail := range failures {
			for seed := range uint64(2) {
				idle := seed%2 == 0
				t.Run(fmt.Sprintf("%s, %v and %v, seed %d", name, li.PerSecond, li.Burst, seed), func(t *testing.T) {
					wo := newWorld(30, li, seed)
					wo.demand(7.5*li.PerSecond, func(time.Duration) int { return wo.rng.IntN(len(wo.nodes)) })
					wo.run(5 * time.Second)
					wo.paused = idle
					wo.run(5 * time.Second)
					wo.paused = false
					fail(wo)
					wo.run(30 * time.Second)
					most := wo.mostInWindow()
					t.Logf("%.3f of the limit admitted from the failure on, at most %d in a window, allowed %d", wo.admitted(10*time.Second), most, wo.allowed())
					if most > wo.allowed() {
						t.Errorf("%d units in a window, want at most %d", most, wo.allowed())
					}
				})
			}
		}
	}
}

// A lower limit is known to half of the nodes only. It must take effect within one window.
func TestLowerLimitTakesEffectWhileHalfOfTheNodesDoNotKnowIt(t *testing.T) {
	high, low := Limit{Version: 1, PerSecond: 20_000, Burst: 40_000}, Limit{Version: 2, PerSecond: 4_000, Burst: 4_000}
	wo := newWorld(30, high, 3)
	wo.demand(7.5*high.PerSecond, func(time.Duration) int { return wo.rng.IntN(len(wo.nodes)) })
	wo.run(10 * time.Second)
	for ix := range 15 {
		wo.nodes[ix].limit = low
	}
	wo.run(Window)
	wo.uses, wo.limit = nil, low
	wo.run(20 * time.Second)
	most, part := wo.mostInWindow(), wo.admitted(18*time.Second)
	t.Logf("%.3f of the lower limit admitted, at most %d in a window, allowed %d", part, most, wo.allowed())
	if most > wo.allowed() || part < admittedMin {
		t.Errorf("%d units in a window and %.3f of the limit, want at most %d and at least %v", most, part, wo.allowed(), admittedMin)
	}
}
