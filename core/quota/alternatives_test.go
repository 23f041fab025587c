package quota

import (
	"math"
	"testing"
	"time"
)

// gossip is an alternative: each node tells all others what its callers asked for, and takes a part of the limit by that.
type gossip struct {
	wo      *world
	asked   []int64
	known   []float64
	all     float64
	buckets []Account
}

// gossipPeriod is how often nodes tell each other.
const gossipPeriod = 500 * time.Millisecond

// tell lets all nodes know what was asked for in the last period. A node that is cut off is told nothing, and counts for the
// others as before.
func (gs *gossip) tell() {
	gs.all = 0
	for ix, no := range gs.wo.nodes {
		if !no.cutOff {
			gs.known[ix] = float64(gs.asked[ix])
			gs.wo.messages += len(gs.wo.nodes) - 1
		}
		gs.asked[ix] = 0
		gs.all += gs.known[ix]
	}
	gs.wo.after(gossipPeriod, gs.tell)
}

// take admits a request by the node's part.
func (gs *gossip) take(ix int, units int64) bool {
	gs.asked[ix] += units
	part := 1 / float64(len(gs.known))
	if gs.all > 0 && !gs.wo.nodes[ix].cutOff {
		part = gs.known[ix] / gs.all
	}
	if part == 0 {
		return false
	}
	li := gs.wo.limit
	li.PerSecond, li.Burst = li.PerSecond*part, li.Burst*part
	ac, an := gs.buckets[ix].WithQuery(Query{Limit: li, Amount: units}, 0, gs.wo.now)
	gs.buckets[ix] = ac
	return an.Amount > 0
}

// alternatives are the rules that are compared: each returns what decides on a request of a node.
var alternatives = []struct {
	name string
	rule func(wo *world) func(ix int, units int64) bool
}{
	{"leases", func(*world) func(int, int64) bool { return nil }},
	{"fixed shares", func(wo *world) func(int, int64) bool {
		for _, no := range wo.nodes {
			no.keeper = nil
		}
		wo.keeper = nil
		return nil
	}},
	{"gossip", func(wo *world) func(int, int64) bool {
		count := len(wo.nodes)
		rule := &gossip{wo: wo, asked: make([]int64, count), known: make([]float64, count), buckets: make([]Account, count)}
		rule.tell()
		return rule.take
	}},
	// Each of 58 agents admits by a part of its own. Adapters are not equally popular, so neither are engines.
	{"agents", func(wo *world) func(int, int64) bool {
		const agents = 58
		parts, weights, sum := make([]Account, agents), make([]float64, agents), 0.0
		for ix := range weights {
			sum += 1 / math.Pow(float64(ix+1), 0.7)
			weights[ix] = sum
		}
		li := wo.limit.share(agents)
		return func(_ int, units int64) bool {
			drawn, ix := wo.rng.Float64()*sum, 0
			for weights[ix] < drawn {
				ix++
			}
			ac, an := parts[ix].WithQuery(Query{Limit: li, Amount: units}, 0, wo.now)
			parts[ix] = ac
			return an.Amount > 0
		}
	}},
}

// Compares the alternatives of the design note by the part of the limit that they admit, and by the most that arrives in a
// window as a part of what is allowed. Failures of the keeper concern leases only.
func TestAlternativesCompared(t *testing.T) {
	all := func(wo *world) func(time.Duration) int { return func(time.Duration) int { return wo.rng.IntN(30) } }
	two := func(wo *world) func(time.Duration) int { return func(time.Duration) int { return wo.rng.IntN(2) } }
	zones := func(wo *world) func(time.Duration) int {
		return func(now time.Duration) int { return int(now/time.Second)%3*10 + wo.rng.IntN(10) }
	}
	for _, tc := range []struct {
		name   string
		demand float64
		nodes  func(wo *world) func(time.Duration) int
		fail   func(wo *world)
	}{
		{"callers at all nodes", 7.5, all, nil}, {"callers at two nodes", 7.5, two, nil}, {"callers move each second", 7.5, zones, nil},
		{"1.1 times the limit", 1.1, all, nil},
		{"keeper dies for 5 s", 7.5, all, func(wo *world) { wo.restartKeeper(5 * time.Second) }},
		{"ten nodes cut off for 20 s", 7.5, all, func(wo *world) { wo.cutOff(10, 20*time.Second) }},
		{"all nodes restart", 7.5, all, failures["all nodes restart"]},
	} {
		for _, al := range alternatives {
			wo := newWorld(30, limits[0], 1)
			wo.rule = al.rule(wo)
			wo.demand(tc.demand*wo.limit.PerSecond, tc.nodes(wo))
			wo.run(10 * time.Second)
			if tc.fail != nil && wo.keeper != nil {
				tc.fail(wo)
			}
			wo.run(30 * time.Second)
			part, most := wo.admitted(10*time.Second), float64(wo.mostInWindow())/float64(wo.allowed())
			t.Logf("%-28s %-14s %.2f of the limit admitted, at most %.2f of what is allowed in a window, %.1f messages a second for each node",
				tc.name, al.name, part, most, float64(wo.messages)/30/40)
			if al.name == "leases" && most > 1 {
				t.Errorf("%s: %.2f of what is allowed in a window", tc.name, most)
			}
		}
	}
}

// Counts the messages of 390 nodes that get 600 requests a second in all, of 16 to 10,000 organisations of unequal size. Every
// third organisation sends more than its limit. Control traffic for quotas may be 0.4 KB a second for each node at 16
// organisations.
func TestMessagesOfManyOrganisations(t *testing.T) {
	const (
		nodes, demand, period = 390, 600 * 1500, 4 * time.Second
		// messageBytes is the size of a query or an answer on the wire, on average: 64 bytes for a query of an organisation
		// with a name of ten characters, 20 for an answer, and 2 to 6 for the header of a WebSocket message.
		messageBytes, bytesMax = 46, 400
	)
	for _, count := range []int{16, 1000, 10_000} {
		sum, messages := 0.0, 0
		for ix := range count {
			sum += 1 / float64(ix+1)
		}
		for ix := range count {
			units := demand / sum / float64(ix+1)
			li := Limit{Version: 1, PerSecond: units * 1.5, Burst: units * 3}
			if ix%3 == 0 {
				li.PerSecond, li.Burst = units/3, units
			}
			wo := newWorld(nodes, li, uint64(ix))
			wo.demand(units, func(time.Duration) int { return wo.rng.IntN(nodes) })
			wo.run(period)
			messages += wo.messages
		}
		each := float64(messages) / nodes / period.Seconds()
		t.Logf("%d organisations: %.2f messages and %.0f bytes a second for each node; gossip: %.0f messages", count, each, each*messageBytes,
			(nodes-1)/gossipPeriod.Seconds())
		if count == 16 && each*messageBytes > bytesMax {
			t.Errorf("%d organisations: %.0f bytes a second for each node, want at most %d", count, each*messageBytes, bytesMax)
		}
	}
}
