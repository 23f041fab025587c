package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// admittedMin is the least part of what the limit allows that must be admitted when demand is above it.
const admittedMin = 0.98

// returnMin is the least part of the callers for whom there must be room at the time that they were told.
const returnMin = 0.9

// limits are those of the tests, in tokens.
var limits = []Limit{
	{Version: 1, PerSecond: 20_000, Burst: 40_000},
	{Version: 1, PerSecond: 20_000},
	{Version: 1, PerSecond: 3_000, Burst: 6_000},
	{Version: 1, PerSecond: 100_000, Burst: 100_000},
}

// One organisation sends 7.5 times what it may. Wherever its callers are, the limit must be kept in any window, and be used.
func TestLimitIsKeptAndUsedWhereverCallersAre(t *testing.T) {
	for _, li := range limits {
		for name, at := range map[string]func(wo *world) func(now time.Duration) int{
			"all nodes": func(wo *world) func(time.Duration) int {
				return func(time.Duration) int { return wo.rng.IntN(30) }
			},
			"two nodes": func(wo *world) func(time.Duration) int {
				return func(time.Duration) int { return wo.rng.IntN(2) }
			},
			// All callers leave a zone of ten nodes for the next one, each second.
			"zones": func(wo *world) func(time.Duration) int {
				return func(now time.Duration) int { return int(now/time.Second)%3*10 + wo.rng.IntN(10) }
			},
		} {
			t.Run(fmt.Sprintf("%s, %v and %v", name, li.PerSecond, li.Burst), func(t *testing.T) {
				wo := newWorld(30, li, 1)
				wo.demand(7.5*li.PerSecond, at(wo))
				wo.run(60 * time.Second)
				wo.check(t, 4*time.Second)
			})
		}
	}
}

// check verifies that the limit was kept, and used from a time on.
func (wo *world) check(t *testing.T, from time.Duration) {
	t.Helper()
	most, part := wo.mostInWindow(), wo.admitted(from)
	t.Logf("%.3f of the limit admitted, at most %d in a window, allowed %d, %.1f messages a second for each node",
		part, most, wo.allowed(), float64(wo.messages)/float64(len(wo.nodes))/wo.now.Sub(start).Seconds())
	if part < admittedMin {
		t.Errorf("%.3f of the limit admitted, want at least %v", part, admittedMin)
	}
	if most > wo.allowed() {
		t.Errorf("%d units in a window, want at most %d", most, wo.allowed())
	}
}

// Requests that one account for all nodes would admit must not be refused because there are many nodes, also where demand is
// below the limit.
func TestFewRequestsAreRefusedThatOneAccountWouldAdmit(t *testing.T) {
	for _, li := range limits {
		for _, demand := range []float64{0.5, 0.9, 1.2} {
			for _, nodes := range []int{2, 30} {
				wo := newWorld(nodes, li, 4)
				ideal, idealUnits := Account{}, int64(0)
				wo.arrived = func(units int64) {
					ac, an := ideal.WithQuery(Query{Limit: li, Amount: units}, 0, wo.now)
					ideal, idealUnits = ac, idealUnits+an.Amount
				}
				wo.demand(demand*li.PerSecond, func(time.Duration) int { return wo.rng.IntN(nodes) })
				wo.run(120 * time.Second)
				sum := int64(0)
				for _, us := range wo.uses {
					sum += us.units
				}
				part := float64(sum) / float64(idealUnits)
				t.Logf("limit %v and %v, demand %v, %d nodes: %.3f of what one account admits, which is %.3f of the demand", li.PerSecond, li.Burst, demand, nodes, part, float64(idealUnits)/float64(wo.offered))
				if part < admittedMin {
					t.Errorf("limit %v and %v, demand %v, %d nodes: %.3f of what one account admits, want at least %v", li.PerSecond, li.Burst, demand, nodes, part, admittedMin)
				}
			}
		}
	}
}

// Requests beyond the limit are refused for three seconds, and each caller comes back at the time that it was told. Those who come
// back after that must find room, also if they come to another node.
func TestThereIsRoomAtTheTimeThatCallersAreTold(t *testing.T) {
	for _, li := range limits {
		for _, nodes := range []int{2, 30} {
			returned, again := 0, 0
			for seed := range uint64(10) {
				wo := newWorld(nodes, li, seed)
				re, ag := wo.returnAfterRefusal(3*li.PerSecond, 3*time.Second)
				returned, again = returned+re, again+ag
			}
			part := 1 - float64(again)/float64(returned)
			t.Logf("limit %v and %v, %d nodes: %d came back, %.2f of them found room", li.PerSecond, li.Burst, nodes, returned, part)
			if part < returnMin {
				t.Errorf("limit %v and %v, %d nodes: %.2f of the callers found room when they came back, want at least %v", li.PerSecond, li.Burst, nodes, part, returnMin)
			}
		}
	}
}

// returnAfterRefusal makes requests arrive for a time. It returns how many callers came back after it, as they were told, and
// how many of them were refused again.
func (wo *world) returnAfterRefusal(perSecond float64, period time.Duration) (returned, again int) {
	// Each request has another size, by which it is recognized.
	next, told := int64(1000), map[int64]bool{}
	wo.size = func(*rand.Rand) int64 { next++; return next }
	wo.refused = func(units int64, wait time.Duration) {
		if told[units] {
			again++
			return
		}
		if wo.now.Add(wait).After(start.Add(period)) {
			told[units] = true
			returned++
			wo.after(wait, func() { wo.take(wo.nodes[wo.rng.IntN(len(wo.nodes))], units) })
		}
	}
	wo.demand(perSecond, func(time.Duration) int { return wo.rng.IntN(len(wo.nodes)) })
	wo.run(period)
	wo.paused = true
	wo.run(20 * time.Second)
	return returned, again
}
