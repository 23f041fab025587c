package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/core/grant"
)

// regionFleet returns a number of engines in each of two regions, the first of which has the
// adapter x with a number of users.
func regionFleet(perRegion, users int) *Fleet {
	fl := &Fleet{}
	for ix := range 2 * perRegion {
		id, region := fmt.Sprintf("e%02d", ix), fmt.Sprintf("r%d", 1+ix/perRegion)
		fl.Put(Server{ID: id, Service: "advice", Zone: region, Region: region, Engine: true, Model: "m", Born: 1})
		report(fl, id)
	}
	report(fl, "e00", AdapterSlot{Adapter: "x", Version: 1, Ready: true, Users: users})
	return fl
}

// preferredIDs returns the engines that load the adapter of a request without a penalty.
func preferredIDs(fl *Fleet, rq Request) []string {
	group := fl.services[rq.Service]
	pr := preferredEngines(group, &rq)
	ids := []string(nil)
	for _, me := range group {
		if pr.includes(me, &rq) {
			ids = append(ids, me.ID)
		}
	}
	return ids
}

func TestMoreEnginesArePreferredForAnAdapterWithMoreUsers(t *testing.T) {
	for users, want := range map[int]int{0: 1, usersPerEngine - 1: 1, usersPerEngine: 2, 5 * usersPerEngine: 6, 1000: 8} {
		rq := requestFor("x")
		rq.Zone, rq.Popular = "r1", true
		ids := preferredIDs(regionFleet(8, users), rq)
		if len(ids) != want {
			t.Errorf("%d users: engines %v are preferred, want %d", users, ids, want)
		}
		for _, id := range ids {
			if id >= "e08" {
				t.Errorf("%d users: engine %s of another region is preferred", users, id)
			}
		}
	}
}

func TestNoEngineIsPreferredForARareAdapterThatOneHas(t *testing.T) {
	if ids := preferredIDs(regionFleet(8, 1000), requestFor("x")); len(ids) != 0 {
		t.Errorf("engines %v are preferred, want none", ids)
	}
	if ids := preferredIDs(regionFleet(8, 0), requestFor("y")); len(ids) != 1 {
		t.Errorf("engines %v are preferred for an adapter that none has, want one", ids)
	}
}

// An engine whose backlog is at the limit costs as much as the second choice, unless the margin is
// what keeps small differences from counting.
func TestBacklogLimitIsWhereTheSecondChoiceIsAsCheap(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("same cost", prop.ForAll(func(backlogs []int) bool {
		fl := fleetOf("e1", "e2", "e3")
		for ix, id := range []string{"e1", "e2", "e3"} {
			fl.AgentReported(id, Load{Load: grant.Load{
				Known: true, Model: "m", Slots: 2, MemoryFree: 100_000, Backlog: time.Duration(backlogs[ix]) * time.Millisecond,
			}, ReportedAt: start}, []AdapterSlot{})
		}
		report(fl, "e2", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
		ch, ok := fl.Choose(requestFor("x"), start)
		if !ok || ch.BacklogMax == 0 {
			return false
		}
		me := fl.members[ch.ID]
		if ch.BacklogMax-me.load.Backlog == backlogMargin {
			return true
		}
		me.load.Backlog = ch.BacklogMax
		again, _ := fl.Choose(requestFor("x"), start)
		difference := again.Candidates[1].Cost - again.Candidates[0].Cost
		return difference < 1e-6
	}, gen.SliceOfN(3, gen.IntRange(0, 3000))))
	properties.TestingRun(t)
}

func TestNoBacklogLimitWithoutASecondChoice(t *testing.T) {
	if ch := mustChoose(t, fleetOf("e1"), requestFor("x"), start); ch.BacklogMax != 0 {
		t.Errorf("backlog limit %s with a single engine, want none", ch.BacklogMax)
	}
}
