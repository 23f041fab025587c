package quota

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// latency is how long a message takes in one direction.
	latency = 2 * time.Millisecond
	// answerTimeout is how long an entry node waits for an answer.
	answerTimeout = 200 * time.Millisecond
	// excessShare and excessUnits are by how much a window may exceed the limit, as the requirement states it.
	excessShare = 0.1
	excessUnits = 17_000
)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// keeperRun is one run of an agent.
type keeperRun struct {
	boot    string
	account Account
	// silent is true while the agent neither takes nor gives messages; losesAnswers while its answers are lost.
	silent, losesAnswers bool
	withheld             float64
}

// entryNode is an entry node.
type entryNode struct {
	holder  Holder
	waiting []int64
	limit   Limit
	keeper  *keeperRun
	// cutOff is true while the node is cut off from the keeper, down before it starts, frozen during a freeze. What comes
	// in a freeze waits in held.
	cutOff, down, frozen bool
	held                 []func()
}

// use is an admitted request.
type use struct {
	at    time.Time
	units int64
}

// world is one organisation in virtual time.
type world struct {
	rng *rand.Rand
	now time.Time
	// events holds what is to come, the next one last.
	events   []event
	limit    Limit
	nodes    []*entryNode
	keeper   *keeperRun
	uses     []use
	offered  int64
	messages int
	// size draws the units of a request.
	size func(rng *rand.Rand) int64
	// rule decides on requests instead of the holders, nil for none.
	rule func(node int, units int64) bool
	// arrived is called with the units of each request, nil for nothing.
	arrived func(units int64)
	// paused is true while no requests arrive.
	paused bool
	// refused is called with the wait of each refused request, nil for nothing.
	refused func(units int64, wait time.Duration)
}

// newWorld returns a world in which each node knows the keeper.
func newWorld(nodes int, li Limit, seed uint64) *world {
	wo := &world{rng: rand.New(rand.NewPCG(1, seed)), now: start, limit: li, keeper: &keeperRun{boot: "first"}}
	wo.size = func(rng *rand.Rand) int64 { return 300 + rng.Int64N(2400) }
	for range nodes {
		wo.nodes = append(wo.nodes, &entryNode{limit: li, keeper: wo.keeper})
	}
	return wo
}

// after schedules something.
func (wo *world) after(period time.Duration, do func()) {
	at := wo.now.Add(period)
	ix := sort.Search(len(wo.events), func(ix int) bool { return !wo.events[ix].at.After(at) })
	wo.events = slices.Insert(wo.events, ix, event{at: at, do: do})
}

// run lets time pass.
func (wo *world) run(period time.Duration) {
	end := wo.now.Add(period)
	for last := len(wo.events) - 1; last >= 0 && !wo.events[last].at.After(end); last = len(wo.events) - 1 {
		ev := wo.events[last]
		wo.events, wo.now = wo.events[:last], ev.at
		ev.do()
	}
	wo.now = end
}

// demand makes requests arrive at a rate in units a second, at the node that at returns.
func (wo *world) demand(perSecond float64, at func(now time.Duration) int) {
	units := wo.size(wo.rng)
	gap := time.Duration(wo.rng.ExpFloat64() * float64(units) / perSecond * float64(time.Second))
	wo.after(gap, func() {
		ix := at(wo.now.Sub(start))
		no := wo.nodes[ix]
		if !no.down && !wo.paused {
			wo.offered += units
			if wo.arrived != nil {
				wo.arrived(units)
			}
			wo.inNode(no, func() {
				if wo.rule == nil {
					wo.take(no, units)
				} else if wo.rule(ix, units) {
					wo.uses = append(wo.uses, use{at: wo.now, units: units})
				}
			})
		}
		wo.demand(perSecond, at)
	})
}

// inNode does something at a node, after its freeze if it is frozen.
func (wo *world) inNode(no *entryNode, do func()) {
	if no.frozen {
		no.held = append(no.held, do)
		return
	}
	do()
}

// thaw ends the freeze of a node.
func (wo *world) thaw(no *entryNode) {
	no.frozen = false
	held := no.held
	no.held = nil
	for _, do := range held {
		do()
	}
}

// take passes a request to the node's holder.
func (wo *world) take(no *entryNode, units int64) {
	if no.down {
		return
	}
	rq := Request{Units: units, Limit: no.limit, Entries: len(wo.nodes), Random: wo.rng.Float64()}
	if no.keeper != nil {
		rq.Keeper = no.keeper.boot
	}
	switch de := no.holder.Take(rq, wo.now); de.Step {
	case Admit:
		wo.uses = append(wo.uses, use{at: wo.now, units: units})
	case Refuse:
		if wo.refused != nil {
			wo.refused(units, de.Wait)
		}
	case Await:
		no.waiting = append(no.waiting, units)
	case Ask:
		wo.ask(no, units, de.Query)
	}
}

// ask sends a query; its request and those that wait are taken again once it has ended.
func (wo *world) ask(no *entryNode, units int64, qu Query) {
	keeper, ended := no.keeper, false
	end := func() {
		waiting := append([]int64{units}, no.waiting...)
		ended, no.waiting = true, nil
		for _, units := range waiting {
			wo.take(no, units)
		}
	}
	wo.after(answerTimeout, func() {
		wo.inNode(no, func() {
			if !ended {
				no.holder.Unanswered(wo.now)
				end()
			}
		})
	})
	wo.send(no, keeper, qu, func(an Answer) {
		wo.inNode(no, func() {
			if ended {
				return
			}
			no.holder.Answered(qu, an, wo.now)
			wo.after(LeaseTime+returnDelay, func() { wo.giveBack(no) })
			end()
		})
	})
}

// returnDelay is the delay of the returns of a lease whose time is over.
const returnDelay = 200 * time.Millisecond

// giveBack returns what is left of leases.
func (wo *world) giveBack(no *entryNode) {
	if no.frozen || no.down {
		return
	}
	if qu, boot, ok := no.holder.TakeReturns(wo.now); ok && no.keeper != nil && no.keeper.boot == boot {
		wo.send(no, no.keeper, qu, nil)
	}
}

// send sends a query to a keeper and its answer back.
func (wo *world) send(no *entryNode, ke *keeperRun, qu Query, answer func(an Answer)) {
	wo.messages++
	wo.after(latency, func() {
		if no.cutOff || ke.silent {
			return
		}
		ac, an := ke.account.WithQuery(qu, ke.withheld, wo.now)
		ke.account = ac
		if answer == nil || ke.losesAnswers {
			return
		}
		wo.messages++
		wo.after(latency, func() {
			if !no.cutOff && !no.down {
				answer(an)
			}
		})
	})
}

// mostInWindow returns the most units admitted in any window.
func (wo *world) mostInWindow() int64 {
	most, sum, first := int64(0), int64(0), 0
	for _, us := range wo.uses {
		sum += us.units
		for us.at.Sub(wo.uses[first].at) >= Window {
			sum -= wo.uses[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// allowed returns the most units that any window may have.
func (wo *world) allowed() int64 {
	return int64((wo.limit.PerSecond*Window.Seconds()+wo.limit.Burst)*(1+excessShare)) + excessUnits
}

// admitted returns the units admitted from a time on as a part of what came in by the limit since.
func (wo *world) admitted(from time.Duration) float64 {
	sum := int64(0)
	for _, us := range wo.uses {
		if us.at.Sub(start) >= from {
			sum += us.units
		}
	}
	return float64(sum) / wo.limit.unitsIn(wo.now.Sub(start)-from)
}
