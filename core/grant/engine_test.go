package grant

import (
	"fmt"
	"testing"
	"time"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const base = "base"

// driver feeds an engine's state and keeps what it ordered.
type driver struct {
	born    int64
	t       *testing.T
	en      *Engine
	now     time.Time
	granted []string
	refused []string
	order   *Order
	seq     int64
	loaded  map[string]int
	coming  map[string]int
}

// newDriver returns an engine with the base model, a number of slots and adapters loaded.
func newDriver(t *testing.T, slots int, adapters ...string) *driver {
	dr := &driver{t: t, born: 1, en: New(begin), now: begin.Add(time.Minute), loaded: map[string]int{}, coming: map[string]int{}}
	for _, adapter := range adapters {
		dr.loaded[adapter] = 1
	}
	dr.take(dr.en.Prepare(Wanted{Model: base, Slots: slots, Server: "s1", Born: 1}, dr.now))
	dr.observe()
	return dr
}

// take records actions.
func (dr *driver) take(actions []Action) {
	for _, ac := range actions {
		switch {
		case ac.Grant != nil:
			dr.granted = append(dr.granted, ac.Grant.Attempt)
		case ac.Refuse != nil:
			dr.refused = append(dr.refused, ac.Refuse.Attempt)
		case ac.Order != nil:
			if dr.order != nil {
				dr.t.Fatalf("order %+v while %+v is under way", ac.Order, dr.order)
			}
			dr.order = ac.Order
		}
	}
}

// observe tells what the engine holds.
func (dr *driver) observe() {
	ob := Observation{
		Born: dr.born, Sequence: dr.seq, MemoryTotal: 100_000, Coming: map[Key]int{}, Models: []Model{{Name: base, Adapters: map[string]int{}}},
	}
	for adapter, version := range dr.loaded {
		ob.Models[0].Adapters[adapter] = version
	}
	for adapter, version := range dr.coming {
		ob.Coming[Key{Model: base, Adapter: adapter}] = version
	}
	dr.take(dr.en.Observed(ob, dr.now))
}

// carryOut lets the engine carry out the order under way.
func (dr *driver) carryOut() {
	or := dr.order
	if or == nil {
		dr.t.Fatal("no order is under way")
	}
	dr.order = nil
	if or.Sequence != dr.seq {
		dr.t.Fatalf("the order expects %d orders, the engine has counted %d", or.Sequence, dr.seq)
	}
	dr.seq++
	if or.Operation == UnloadAdapter {
		delete(dr.loaded, or.Key.Adapter)
		dr.take(dr.en.Ordered(*or, Holds, dr.now))
		return
	}
	dr.coming[or.Key.Adapter] = max(1, or.Version)
	dr.take(dr.en.Ordered(*or, Accepted, dr.now))
}

// lose ends the order under way without an answer.
func (dr *driver) lose() {
	or := dr.order
	dr.order = nil
	dr.take(dr.en.Ordered(*or, Lost, dr.now))
}

// arrive completes the loads under way.
func (dr *driver) arrive() {
	dr.now = dr.now.Add(loadTime)
	for adapter, version := range dr.coming {
		dr.loaded[adapter] = version
	}
	clear(dr.coming)
	dr.observe()
}

// reserve asks for a grant.
func (dr *driver) reserve(attempt, adapter string, version int, settled bool) {
	dr.take(dr.en.Reserve(Item{
		Attempt: attempt, Entry: "entry", Key: Key{Model: base, Adapter: adapter}, Version: version, Settled: settled,
		PromptTokens: 1000, OutputTokens: 20, Deadline: dr.now.Add(5 * time.Second),
	}, dr.now))
}

func TestAnAdapterIsLoadedOnceForAllThatWait(t *testing.T) {
	dr := newDriver(t, 2)
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "x", 0, false)
	dr.carryOut()
	if dr.order != nil {
		t.Fatalf("a second order for one adapter: %+v", dr.order)
	}
	dr.arrive()
	if fmt.Sprint(dr.granted) != "[a b]" {
		t.Errorf("granted %v", dr.granted)
	}
}

func TestAPinnedAdapterIsNeverEvicted(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "y", 0, false)
	if dr.order != nil {
		t.Fatalf("ordered %+v while x is in use", dr.order)
	}
	dr.take(dr.en.Release("a", 0, dr.now))
	if dr.order == nil || dr.order.Operation != UnloadAdapter || dr.order.Key.Adapter != "x" {
		t.Fatalf("x is not evicted for b: %+v", dr.order)
	}
	dr.carryOut()
	dr.carryOut()
	dr.arrive()
	if fmt.Sprint(dr.granted) != "[a b]" {
		t.Errorf("granted %v", dr.granted)
	}
}

func TestARequestTheEngineDidNotFindFreesNoSlot(t *testing.T) {
	dr := newDriver(t, 2, "x", "y")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "y", 0, false)
	dr.reserve("c", "z", 0, false)
	dr.take(dr.en.Missing("a", dr.now))
	if dr.order != nil && dr.order.Operation == LoadAdapter {
		t.Fatal("a third adapter was ordered onto two slots")
	}
}

func TestALostLoadKeepsItsSlotUntilALaterOrderIsCounted(t *testing.T) {
	dr := newDriver(t, 2, "x")
	dr.reserve("a", "y", 0, false)
	dr.lose()
	dr.now = dr.now.Add(time.Second)
	dr.observe()
	if dr.order != nil && dr.order.Operation == LoadAdapter {
		t.Fatal("a load was ordered beside a lost one that may still be carried out")
	}
	dr.carryOut()
	dr.now = dr.now.Add(time.Second)
	dr.observe()
	dr.carryOut()
	dr.arrive()
	if fmt.Sprint(dr.granted) != "[a]" {
		t.Errorf("granted %v", dr.granted)
	}
}

func TestAnIdleVersionMakesWayBeforeTheNewOneIsLoaded(t *testing.T) {
	dr := newDriver(t, 2, "x", "y")
	dr.reserve("a", "x", 2, true)
	if dr.order == nil || dr.order.Operation != UnloadAdapter || dr.order.Key.Adapter != "x" {
		t.Fatalf("the old version does not make way: %+v", dr.order)
	}
	dr.carryOut()
	if dr.order == nil || dr.order.Version != 2 {
		t.Fatalf("the new version is not ordered: %+v", dr.order)
	}
	dr.carryOut()
	dr.arrive()
	if fmt.Sprint(dr.granted) != "[a]" {
		t.Errorf("granted %v", dr.granted)
	}
}

func TestAnOldVersionServesOnWhileItIsInUseAndAllowed(t *testing.T) {
	dr := newDriver(t, 2, "x")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "x", 2, false)
	if fmt.Sprint(dr.granted) != "[a b]" || dr.order != nil {
		t.Fatalf("granted %v, ordered %+v", dr.granted, dr.order)
	}
	dr.reserve("c", "x", 2, true)
	if fmt.Sprint(dr.granted) != "[a b]" {
		t.Errorf("c was granted an old version")
	}
}

func TestOneInspectionFollowsAnotherAtADistance(t *testing.T) {
	dr := newDriver(t, 2)
	dr.reserve("a", "x", 0, false)
	dr.carryOut()
	dr.now = dr.now.Add(2 * loadTime)
	dr.observe()
	if next := dr.en.NextAt(dr.now); next.Sub(dr.now) < inspectSoon {
		t.Errorf("the next inspection is due after %v", next.Sub(dr.now))
	}
}

func TestADeadlineEndsTheWait(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "y", 0, false)
	dr.now = dr.now.Add(6 * time.Second)
	dr.take(dr.en.Tick(dr.now))
	if fmt.Sprint(dr.refused) != "[b]" {
		t.Errorf("refused %v", dr.refused)
	}
}

func TestTheGrantsOfALostEntryNodeEndAfterAWhile(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.reserve("a", "x", 0, false)
	dr.en.Disconnected("entry", dr.now)
	dr.now = dr.now.Add(orphanMax + time.Second)
	dr.take(dr.en.Tick(dr.now))
	if !dr.en.Idle() {
		t.Error("the grant lives on without its entry node")
	}
}

func TestALostLoadMayReachTheNextRunOfTheEngine(t *testing.T) {
	dr := newDriver(t, 1)
	dr.reserve("a", "x", 0, false)
	dr.lose()
	dr.born = 2
	dr.now = dr.now.Add(time.Second)
	dr.observe()
	if dr.order != nil {
		t.Fatalf("ordered %+v beside a load that may reach this run", dr.order)
	}
	dr.take(dr.en.Prepare(Wanted{Model: base, Slots: 1, Server: "s2", Born: 2}, dr.now))
	dr.observe()
	if dr.order == nil || dr.order.Server != "s2" {
		t.Fatalf("the run has another identity and gets no order: %+v", dr.order)
	}
}

func TestADrainingEngineRefusesThoseWhoWait(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "y", 0, false)
	dr.take(dr.en.Observed(Observation{Born: 1, Draining: true, Models: []Model{{Name: base, Adapters: map[string]int{"x": 1}}}}, dr.now))
	if fmt.Sprint(dr.refused) != "[b]" {
		t.Errorf("refused %v", dr.refused)
	}
}

func TestARestartedEngineLoadsTheModelItsHostHasBeforeAnybodyAsks(t *testing.T) {
	en := New(begin)
	actions := en.Observed(Observation{Born: 1, AtHand: []string{base}}, begin)
	if len(actions) == 0 || actions[0].Order == nil || actions[0].Order.Operation != LoadModel || actions[0].Order.Key.Model != base {
		t.Errorf("after a power loss the engine waits for an entry node: %+v", actions)
	}
}

func TestTheResultOfAnOrderToAnEarlierRunChangesNothing(t *testing.T) {
	dr := newDriver(t, 2)
	dr.reserve("a", "x", 0, false)
	old := dr.order
	dr.order = nil
	dr.born = 2
	dr.observe()
	dr.take(dr.en.Prepare(Wanted{Model: base, Slots: 2, Server: "s2", Born: 2}, dr.now))
	dr.observe()
	if dr.order == nil || dr.order.Born != 2 {
		t.Fatalf("the new run gets no order: %+v", dr.order)
	}
	dr.take(dr.en.Ordered(*old, Lost, dr.now))
	dr.carryOut()
	dr.arrive()
	if fmt.Sprint(dr.granted) != "[a]" {
		t.Errorf("granted %v: the old order's result ended the new one", dr.granted)
	}
}
