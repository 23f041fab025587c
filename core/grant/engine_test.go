package grant

import (
	"fmt"
	"testing"
	"time"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testModel = "base"

// driver feeds events to an Engine, plays the engine process and records the resulting actions.
type driver struct {
	born         int64
	t            *testing.T
	en           *Engine
	now          time.Time
	granted      []string
	refused      []string
	pendingOrder *Order
	sequence     int64
	loaded       map[string]int
	loading      map[string]int
}

// newDriver returns a driver whose engine has the base model, some slots and some adapters
// loaded.
func newDriver(t *testing.T, slots int, adapters ...string) *driver {
	dr := &driver{t: t, born: 1, en: New(testStart), now: testStart.Add(time.Minute), loaded: map[string]int{}, loading: map[string]int{}}
	for _, adapter := range adapters {
		dr.loaded[adapter] = 1
	}
	dr.record(dr.en.Prepare(Assignment{Model: testModel, Slots: slots, Server: "s1", Born: 1}, dr.now))
	dr.answerInspection()
	return dr
}

// record stores the grants, refusals and orders among actions.
func (dr *driver) record(actions []Action) {
	for _, ac := range actions {
		switch {
		case ac.Grant != nil:
			dr.granted = append(dr.granted, ac.Grant.Attempt)
		case ac.Refuse != nil:
			dr.refused = append(dr.refused, ac.Refuse.Attempt)
		case ac.Order != nil:
			if dr.pendingOrder != nil {
				dr.t.Fatalf("order %+v was given while %+v is in flight", ac.Order, dr.pendingOrder)
			}
			dr.pendingOrder = ac.Order
		}
	}
}

// answerInspection reports the state of the engine process.
func (dr *driver) answerInspection() {
	ob := Observation{
		Born: dr.born, Sequence: dr.sequence, MemoryTotal: 100_000, Coming: map[Key]int{}, Models: []Model{{Name: testModel, Adapters: map[string]int{}}},
	}
	for adapter, version := range dr.loaded {
		ob.Models[0].Adapters[adapter] = version
	}
	for adapter, version := range dr.loading {
		ob.Coming[Key{Model: testModel, Adapter: adapter}] = version
	}
	dr.record(dr.en.InspectionDone(ob, dr.now))
}

// acceptOrder lets the engine process accept the order in flight.
func (dr *driver) acceptOrder() {
	or := dr.pendingOrder
	if or == nil {
		dr.t.Fatal("no order is in flight")
	}
	dr.pendingOrder = nil
	if or.Sequence != dr.sequence {
		dr.t.Fatalf("the order expects sequence number %d, the engine is at %d", or.Sequence, dr.sequence)
	}
	dr.sequence++
	if or.Operation == UnloadAdapter {
		delete(dr.loaded, or.Key.Adapter)
		dr.record(dr.en.OrderEnded(*or, InEffect, dr.now))
		return
	}
	dr.loading[or.Key.Adapter] = max(1, or.Version)
	dr.record(dr.en.OrderEnded(*or, Accepted, dr.now))
}

// loseOrder ends the order in flight without an answer.
func (dr *driver) loseOrder() {
	or := dr.pendingOrder
	dr.pendingOrder = nil
	dr.record(dr.en.OrderEnded(*or, Lost, dr.now))
}

// finishLoads completes the loads in flight.
func (dr *driver) finishLoads() {
	dr.now = dr.now.Add(storeLoadTime)
	for adapter, version := range dr.loading {
		dr.loaded[adapter] = version
	}
	clear(dr.loading)
	dr.answerInspection()
}

// reserve requests a grant.
func (dr *driver) reserve(attempt, adapter string, version int, settled bool) {
	dr.record(dr.en.Reserve(Request{
		Attempt: attempt, Entry: "entry", Key: Key{Model: testModel, Adapter: adapter}, Version: version, VersionMin: versionMin(version, settled),
		PromptTokens: 1000, OutputTokens: 20, Deadline: dr.now.Add(5 * time.Second),
	}, dr.now))
}

func TestRequestsForOneAdapterShareOneLoad(t *testing.T) {
	dr := newDriver(t, 2)
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "x", 0, false)
	dr.acceptOrder()
	if dr.pendingOrder != nil {
		t.Fatalf("a second order was given for one adapter: %+v", dr.pendingOrder)
	}
	dr.finishLoads()
	if fmt.Sprint(dr.granted) != "[a b]" {
		t.Errorf("granted %v", dr.granted)
	}
}

func TestPinnedAdapterIsEvictedOnlyAfterRelease(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "y", 0, false)
	if dr.pendingOrder != nil {
		t.Fatalf("ordered %+v while x is pinned", dr.pendingOrder)
	}
	dr.record(dr.en.Release("a", 0, dr.now))
	if dr.pendingOrder == nil || dr.pendingOrder.Operation != UnloadAdapter || dr.pendingOrder.Key.Adapter != "x" {
		t.Fatalf("x is not unloaded to make room for y: ordered %+v", dr.pendingOrder)
	}
	dr.acceptOrder()
	dr.acceptOrder()
	dr.finishLoads()
	if fmt.Sprint(dr.granted) != "[a b]" {
		t.Errorf("granted %v", dr.granted)
	}
}

func TestAdapterReportedMissingKeepsItsSlot(t *testing.T) {
	dr := newDriver(t, 2, "x", "y")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "y", 0, false)
	dr.reserve("c", "z", 0, false)
	dr.record(dr.en.AdapterNotFound("a", dr.now))
	if dr.pendingOrder != nil && dr.pendingOrder.Operation == LoadAdapter {
		t.Fatal("a load of a third adapter was ordered with two slots")
	}
}

func TestLostLoadKeepsItsSlotUntilALaterOrderIsCounted(t *testing.T) {
	dr := newDriver(t, 2, "x")
	dr.reserve("a", "y", 0, false)
	dr.loseOrder()
	dr.now = dr.now.Add(time.Second)
	dr.answerInspection()
	if dr.pendingOrder != nil && dr.pendingOrder.Operation == LoadAdapter {
		t.Fatal("a load was ordered into the slot of a lost one that may still be carried out")
	}
	dr.acceptOrder()
	dr.now = dr.now.Add(time.Second)
	dr.answerInspection()
	dr.acceptOrder()
	dr.finishLoads()
	if fmt.Sprint(dr.granted) != "[a]" {
		t.Errorf("granted %v", dr.granted)
	}
}

func TestIdleOldVersionIsUnloadedBeforeTheNewOneIsLoaded(t *testing.T) {
	dr := newDriver(t, 2, "x", "y")
	dr.reserve("a", "x", 2, true)
	if dr.pendingOrder == nil || dr.pendingOrder.Operation != UnloadAdapter || dr.pendingOrder.Key.Adapter != "x" {
		t.Fatalf("the old version is not unloaded: ordered %+v", dr.pendingOrder)
	}
	dr.acceptOrder()
	if dr.pendingOrder == nil || dr.pendingOrder.Version != 2 {
		t.Fatalf("the load of the new version is not ordered: ordered %+v", dr.pendingOrder)
	}
	dr.acceptOrder()
	dr.finishLoads()
	if fmt.Sprint(dr.granted) != "[a]" {
		t.Errorf("granted %v", dr.granted)
	}
}

func TestPinnedOldVersionIsGrantedUnlessTheNewOneIsRequired(t *testing.T) {
	dr := newDriver(t, 2, "x")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "x", 2, false)
	if fmt.Sprint(dr.granted) != "[a b]" || dr.pendingOrder != nil {
		t.Fatalf("granted %v, ordered %+v", dr.granted, dr.pendingOrder)
	}
	dr.reserve("c", "x", 2, true)
	if fmt.Sprint(dr.granted) != "[a b]" {
		t.Errorf("c was granted the old version")
	}
}

func TestOverdueLoadIsInspectedNoSoonerThanTheLoadingInterval(t *testing.T) {
	dr := newDriver(t, 2)
	dr.reserve("a", "x", 0, false)
	dr.acceptOrder()
	dr.now = dr.now.Add(2 * storeLoadTime)
	dr.answerInspection()
	if next := dr.en.NextAt(dr.now); next.Sub(dr.now) < loadingInspectInterval {
		t.Errorf("the next inspection is due after %v, sooner than the loading interval", next.Sub(dr.now))
	}
}

func TestQueuedRequestIsRefusedAtItsDeadline(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "y", 0, false)
	dr.now = dr.now.Add(6 * time.Second)
	dr.record(dr.en.Tick(dr.now))
	if fmt.Sprint(dr.refused) != "[b]" {
		t.Errorf("refused %v", dr.refused)
	}
}

func TestGrantsOfADisconnectedEntryNodeExpire(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.reserve("a", "x", 0, false)
	dr.en.EntryDisconnected("entry", dr.now)
	dr.now = dr.now.Add(abandonAfter + time.Second)
	dr.record(dr.en.Tick(dr.now))
	if !dr.en.Idle() {
		t.Error("the grant of a disconnected entry node has not expired")
	}
}

// A record of another writer, taken for the engine's next run, must not keep orders from naming the engine's own server.
func TestOrdersNameTheRunningServerAgainAfterAnotherOneWasNamed(t *testing.T) {
	dr := newDriver(t, 1)
	dr.record(dr.en.Prepare(Assignment{Model: testModel, Slots: 1, Server: "odd", Born: 9}, dr.now))
	dr.record(dr.en.Prepare(Assignment{Model: testModel, Slots: 1, Server: "s1", Born: 1}, dr.now))
	dr.reserve("a", "x", 0, false)
	if or := dr.pendingOrder; or == nil || or.Server != "s1" {
		t.Errorf("order %+v, want one for s1", or)
	}
}

func TestNoLoadIsOrderedWhileALostOneMayReachTheRestartedEngine(t *testing.T) {
	dr := newDriver(t, 1)
	dr.reserve("a", "x", 0, false)
	dr.loseOrder()
	dr.born = 2
	dr.now = dr.now.Add(time.Second)
	dr.answerInspection()
	if dr.pendingOrder != nil {
		t.Fatalf("ordered %+v while a lost load may reach the restarted engine", dr.pendingOrder)
	}
	dr.record(dr.en.Prepare(Assignment{Model: testModel, Slots: 1, Server: "s2", Born: 2}, dr.now))
	dr.answerInspection()
	if dr.pendingOrder == nil || dr.pendingOrder.Server != "s2" {
		t.Fatalf("the restarted engine has another server ID but gets no order: %+v", dr.pendingOrder)
	}
}

func TestDrainingEngineRefusesQueuedRequests(t *testing.T) {
	dr := newDriver(t, 1, "x")
	dr.reserve("a", "x", 0, false)
	dr.reserve("b", "y", 0, false)
	dr.record(dr.en.InspectionDone(Observation{Born: 1, Draining: true, Models: []Model{{Name: testModel, Adapters: map[string]int{"x": 1}}}}, dr.now))
	if fmt.Sprint(dr.refused) != "[b]" {
		t.Errorf("refused %v", dr.refused)
	}
}

// Guards against an engine that stays empty after a power loss, while no entry node is reachable
// to name the model.
func TestEmptyEngineLoadsTheOnlyModelOnDiskUnasked(t *testing.T) {
	en := New(testStart)
	actions := en.InspectionDone(Observation{Born: 1, AtHand: []string{testModel}}, testStart)
	if len(actions) == 0 || actions[0].Order == nil || actions[0].Order.Operation != LoadModel || actions[0].Order.Key.Model != testModel {
		t.Errorf("the engine waits for an entry node to name the model: %+v", actions)
	}
}

// Guards against the late result of an order to the previous engine process, which would end the
// order in flight to the present one.
func TestResultOfAnOrderToAnEarlierRunIsIgnored(t *testing.T) {
	dr := newDriver(t, 2)
	dr.reserve("a", "x", 0, false)
	earlier := dr.pendingOrder
	dr.pendingOrder = nil
	dr.born = 2
	dr.answerInspection()
	dr.record(dr.en.Prepare(Assignment{Model: testModel, Slots: 2, Server: "s2", Born: 2}, dr.now))
	dr.answerInspection()
	if dr.pendingOrder == nil || dr.pendingOrder.Born != 2 {
		t.Fatalf("the restarted engine gets no order: %+v", dr.pendingOrder)
	}
	dr.record(dr.en.OrderEnded(*earlier, Lost, dr.now))
	dr.acceptOrder()
	dr.finishLoads()
	if fmt.Sprint(dr.granted) != "[a]" {
		t.Errorf("granted %v: the earlier order's result was taken for the new one's", dr.granted)
	}
}

// versionMin returns the oldest version that may be used if older ones than a version may not.
func versionMin(version int, settled bool) int {
	if settled {
		return version
	}
	return 0
}
