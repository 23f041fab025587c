package spread

import (
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/core/grant"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetOf returns engines of one zone whose agents have reported no load and no adapters.
func fleetOf(ids ...string) *Fleet {
	fl := &Fleet{}
	for _, id := range ids {
		fl.Put(Server{ID: id, Service: "advice", Zone: "z1", Region: "r1", Engine: true, Model: "m", Born: 1})
		fl.AgentReported(id, Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 100_000}, ReportedAt: start}, []AdapterSlot{})
	}
	return fl
}

// requestFor returns a request for an adapter.
func requestFor(adapter string) Request {
	return Request{Service: "advice", Model: "m", Adapter: adapter, PromptTokens: 1000, Zone: "z1", Region: "r1"}
}

// report records an agent report in which an otherwise idle engine has the given adapters.
func report(fl *Fleet, id string, adapters ...AdapterSlot) {
	fl.AgentReported(id, Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 100_000}, ReportedAt: start}, append([]AdapterSlot{}, adapters...))
}

func mustChoose(t *testing.T, fl *Fleet, rq Request, now time.Time) Choice {
	t.Helper()
	ch, ok := fl.Choose(rq, now)
	if !ok {
		t.Fatal("Choose found no server")
	}
	return ch
}

func TestChoosePrefersAnEngineWithTheAdapterLoaded(t *testing.T) {
	for _, id := range []string{"e1", "e2", "e3"} {
		fl := fleetOf("e1", "e2", "e3")
		report(fl, id, AdapterSlot{Adapter: "x", Version: 1, Ready: true, Users: 3})
		if ch := mustChoose(t, fl, requestFor("x"), start); ch.ID != id || ch.Reason != AdapterLoaded {
			t.Errorf("chose %+v, but %s has the adapter loaded", ch, id)
		}
	}
}

func TestChoosePrefersAHostWithTheAdapterCachedToAFetch(t *testing.T) {
	fl := fleetOf("e1", "e2", "e3")
	preferred := mustChoose(t, fl, requestFor("x"), start).ID
	for _, id := range []string{"e1", "e2", "e3"} {
		if id == preferred {
			continue
		}
		report(fl, id, AdapterSlot{Adapter: "x", Version: 1, Ready: true})
		report(fl, id)
		if ch := mustChoose(t, fl, requestFor("x"), start); ch.ID != id {
			t.Errorf("chose %s, but the host of %s has the adapter cached", ch.ID, id)
		}
		return
	}
}

// An adapter with occasional requests from all regions must not be fetched to every region.
func TestOnlyAPopularAdapterIsFetchedAgainWhenAnotherRegionHasIt(t *testing.T) {
	for ix := range 40 {
		adapter := "x" + strconv.Itoa(ix)
		fl := fleetOf("e1", "e2")
		fl.Put(Server{ID: "e2", Service: "advice", Zone: "z2", Region: "r2", Engine: true, Model: "m", Born: 1})
		report(fl, "e2", AdapterSlot{Adapter: adapter, Version: 1, Ready: true})
		report(fl, "e2")
		if ch := mustChoose(t, fl, requestFor(adapter), start); ch.ID != "e2" {
			t.Errorf("%s would be fetched to %s, but the host of e2 has it cached", adapter, ch.ID)
		}
		popular := requestFor(adapter)
		popular.Popular = true
		if ch := mustChoose(t, fl, popular, start); ch.ID != "e1" {
			t.Errorf("%s is popular, but %s in another region was chosen", adapter, ch.ID)
		}
	}
}

// A long prompt pauses the streams of an engine that reads slowly.
func TestALongPromptGoesToAnEngineWhereItPausesNoStreamsUnlessThatTakesAFetch(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens int
		both   bool
		want   string
	}{
		"long prompt, both engines have the adapter":        {6000, true, "fast"},
		"short prompt, both engines have the adapter":       {1000, true, "slow"},
		"long prompt, only the slow engine has the adapter": {6000, false, "slow"},
	} {
		fl := fleetOf("fast", "slow")
		fl.Put(Server{ID: "fast", Service: "advice", Zone: "z2", Region: "r1", Engine: true, Model: "m", Born: 1})
		adapters := []AdapterSlot{{Adapter: "x", Version: 1, Ready: true}}
		if tc.both {
			report(fl, "fast", adapters...)
		}
		fl.AgentReported("slow", Load{Load: grant.Load{
			Known: true, Model: "m", Slots: 2, MemoryFree: 100_000, Running: 8, BurstMax: 4300,
		}, ReportedAt: start}, adapters)
		rq := requestFor("x")
		rq.PromptTokens = tc.tokens
		if ch := mustChoose(t, fl, rq, start); ch.ID != tc.want {
			t.Errorf("%s: chose %+v", name, ch)
		}
	}
}

func TestARestartedEngineIsExpectedToFetchItsAdaptersAgain(t *testing.T) {
	fl := fleetOf("e1")
	report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	fl.AgentReported("e1", Load{Load: grant.Load{Known: true, Model: "m", Born: 2, Slots: 2, MemoryFree: 100_000}, ReportedAt: start}, nil)
	if ch := mustChoose(t, fl, requestFor("x"), start); ch.Wait < 250*time.Millisecond {
		t.Errorf("expected wait is %v for an adapter that must be fetched", ch.Wait)
	}
}

func TestChoosePrefersAFetchToAnOverloadedEngineWithTheAdapter(t *testing.T) {
	fl := fleetOf("e1", "e2")
	report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	fl.AgentReported("e1", Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 100_000, Backlog: 3 * time.Second}, ReportedAt: start}, nil)
	if ch := mustChoose(t, fl, requestFor("x"), start); ch.ID != "e2" {
		t.Errorf("chose %+v with three seconds of queued prompts, want e2", ch)
	}
}

func TestPromptsSentSinceTheLastReportCountAsLoad(t *testing.T) {
	fl := fleetOf("e1", "e2")
	report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	report(fl, "e2", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	first := mustChoose(t, fl, requestFor("x"), start).ID
	fl.Sent(first, 5000, start)
	if second := mustChoose(t, fl, requestFor("x"), start).ID; second == first {
		t.Error("two consecutive requests went to the same one of two equal engines")
	}
}

func TestADrainingEngineIsNeverChosen(t *testing.T) {
	fl := fleetOf("e1")
	fl.AgentReported("e1", Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, Draining: true}, ReportedAt: start}, nil)
	if ch, ok := fl.Choose(requestFor("x"), start); ok {
		t.Errorf("chose %+v, a draining engine", ch)
	}
}

func TestASilentEngineIsAvoidedUntilASignOfLife(t *testing.T) {
	fl := fleetOf("e1", "e2")
	report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	fl.Sent("e1", 100, start)
	later := start.Add(silenceMax + time.Millisecond)
	if ch := mustChoose(t, fl, requestFor("x"), later); ch.ID != "e2" {
		t.Errorf("chose %+v, want e2", ch)
	}
	fl.SeenAlive("e1", later)
	if ch := mustChoose(t, fl, requestFor("x"), later); ch.ID != "e1" {
		t.Errorf("chose %+v after a sign of life, want e1", ch)
	}
}

// The host of an engine freezes and its callers give up. Without requests in flight the silence
// can no longer be measured, so the engine must be avoided for the backoff time.
func TestAnAbandonedEngineIsAvoidedUntilASignOfLifeOrTheEndOfTheBackoff(t *testing.T) {
	fl := fleetOf("e1", "e2")
	report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	fl.Sent("e1", 100, start)
	later := start.Add(silenceMax + time.Millisecond)
	fl.Abandoned("e1", later)
	fl.Done("e1")
	if ch := mustChoose(t, fl, requestFor("x"), later); ch.ID != "e2" {
		t.Errorf("chose %+v right after its last request was abandoned", ch)
	}
	fl.SeenAlive("e1", later)
	if ch := mustChoose(t, fl, requestFor("x"), later); ch.ID != "e1" {
		t.Errorf("chose %+v after a sign of life, want e1", ch)
	}
	fl.Abandoned("e1", later)
	if ch := mustChoose(t, fl, requestFor("x"), later.Add(silenceBackoff)); ch.ID != "e1" {
		t.Errorf("chose %+v, but the backoff of e1 is over", ch)
	}
}

func TestAnEngineWhoseAgentDoesNotAnswerIsAvoidedIfNothingElseArrives(t *testing.T) {
	sentAt := start.Add(time.Second)
	now := sentAt.Add(200 * time.Millisecond)
	for name, tc := range map[string]struct {
		lastSeen time.Time
		want     string
	}{
		"nothing arrived since the message": {sentAt.Add(-time.Millisecond), "e2"},
		"its streams continue":              {sentAt.Add(time.Millisecond), "e1"},
	} {
		fl := fleetOf("e1", "e2")
		fl.Put(Server{ID: "e2", Service: "advice", Zone: "z2", Region: "r2", Engine: true, Model: "m", Born: 1})
		report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
		fl.SeenAlive("e1", tc.lastSeen)
		fl.AgentUnanswered("e1", sentAt, now)
		if ch := mustChoose(t, fl, requestFor("x"), now); ch.ID != tc.want {
			t.Errorf("%s: chose %+v", name, ch)
		}
	}
}

func TestAnEngineWithASilentAgentServesOnlyAdaptersItHolds(t *testing.T) {
	fl := fleetOf("e1")
	report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	fl.AgentLost("e1")
	if ch := mustChoose(t, fl, requestFor("x"), start); ch.Reason != AgentUnavailable {
		t.Errorf("chose %+v, want agent_unavailable", ch)
	}
	if ch, ok := fl.Choose(requestFor("y"), start); ok {
		t.Errorf("chose %+v for an adapter that cannot be loaded without an agent", ch)
	}
	newer := requestFor("x")
	newer.Version, newer.VersionMin = 2, 2
	if ch, ok := fl.Choose(newer, start); ok {
		t.Errorf("chose %+v for a version that the engine does not have", ch)
	}
}

func TestAnExcludedServerIsChosenOnlyIfNoOtherIsLeft(t *testing.T) {
	fl := &Fleet{}
	for _, id := range []string{"p1", "p2"} {
		fl.Put(Server{ID: id, Service: "ledger", Zone: "z1", Region: "r1", Places: 4})
	}
	rq := Request{Service: "ledger", Zone: "z1", Region: "r1", Exclude: []string{"p1"}}
	if ch := mustChoose(t, fl, rq, start); ch.ID != "p2" {
		t.Errorf("chose %s, want p2", ch.ID)
	}
	fl.Remove("p2")
	if ch := mustChoose(t, fl, rq, start); ch.ID != "p1" {
		t.Errorf("chose %s, want p1", ch.ID)
	}
}

func TestFailuresDoNotRaiseTheExpectedWait(t *testing.T) {
	fl := &Fleet{}
	fl.Put(Server{ID: "p1", Service: "ledger", Zone: "z1", Region: "r1", Places: 4})
	for range 30 {
		fl.Failed("p1", start)
	}
	if ch := mustChoose(t, fl, Request{Service: "ledger", Zone: "z1", Region: "r1"}, start); ch.Wait > 50*time.Millisecond {
		t.Errorf("expected wait is %v at an idle server with failures", ch.Wait)
	}
}

func TestNodesInAllZonesChooseTheSameEngineToLoadAnAdapter(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the same engine from every zone", prop.ForAll(func(adapter string) bool {
		first := ""
		for _, zone := range []string{"z1", "z2", "z3"} {
			fl := fleetOf("e1", "e2", "e3", "e4", "e5")
			rq := requestFor(adapter)
			rq.Zone = zone
			ch, ok := fl.Choose(rq, start)
			if !ok || first != "" && ch.ID != first {
				return false
			}
			first = ch.ID
		}
		return true
	}, gen.Identifier()))
	properties.TestingRun(t)
}
