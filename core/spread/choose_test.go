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

// fleetOf returns engines of one zone whose agents tell of no work and no adapters.
func fleetOf(ids ...string) *Fleet {
	fl := &Fleet{}
	for _, id := range ids {
		fl.Put(Server{ID: id, Service: "advice", Zone: "z1", Region: "r1", Engine: true, Model: "m", Born: 1})
		fl.Told(id, Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 100_000}, At: start}, []Hold{})
	}
	return fl
}

// ask is a request for an adapter.
func ask(adapter string) Request {
	return Request{Service: "advice", Model: "m", Adapter: adapter, PromptTokens: 1000, Zone: "z1", Region: "r1"}
}

// tell gives an engine adapters.
func tell(fl *Fleet, id string, holds ...Hold) {
	fl.Told(id, Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 100_000}, At: start}, append([]Hold{}, holds...))
}

func chosen(t *testing.T, fl *Fleet, rq Request, now time.Time) Choice {
	t.Helper()
	ch, ok := fl.Choose(rq, now)
	if !ok {
		t.Fatal("no server was chosen")
	}
	return ch
}

func TestAnEngineThatHoldsTheAdapterIsChosen(t *testing.T) {
	for _, id := range []string{"e1", "e2", "e3"} {
		fl := fleetOf("e1", "e2", "e3")
		tell(fl, id, Hold{Adapter: "x", Version: 1, Ready: true, Users: 3})
		if ch := chosen(t, fl, ask("x"), start); ch.ID != id || ch.Reason != Holds {
			t.Errorf("chose %+v, %s holds the adapter", ch, id)
		}
	}
}

func TestAnEngineWhoseHostHasTheAdapterGoesBeforeAFetch(t *testing.T) {
	fl := fleetOf("e1", "e2", "e3")
	home := chosen(t, fl, ask("x"), start).ID
	for _, id := range []string{"e1", "e2", "e3"} {
		if id == home {
			continue
		}
		tell(fl, id, Hold{Adapter: "x", Version: 1, Ready: true})
		tell(fl, id)
		if ch := chosen(t, fl, ask("x"), start); ch.ID != id {
			t.Errorf("chose %s, the host of %s has a copy", ch.ID, id)
		}
		return
	}
}

// The load: an adapter that is asked for now and then from all regions.
func TestAnAdapterAtHandInAnotherRegionIsNotFetchedOnceMore(t *testing.T) {
	for ix := range 40 {
		adapter := "x" + strconv.Itoa(ix)
		fl := fleetOf("e1", "e2")
		fl.Put(Server{ID: "e2", Service: "advice", Zone: "z2", Region: "r2", Engine: true, Model: "m", Born: 1})
		tell(fl, "e2", Hold{Adapter: adapter, Version: 1, Ready: true})
		tell(fl, "e2")
		if ch := chosen(t, fl, ask(adapter), start); ch.ID != "e2" {
			t.Errorf("%s is fetched to %s, the host of e2 has a copy", adapter, ch.ID)
		}
		popular := ask(adapter)
		popular.Popular = true
		if ch := chosen(t, fl, popular, start); ch.ID != "e1" {
			t.Errorf("%s is popular, chose %s in another region", adapter, ch.ID)
		}
	}
}

// The load: long prompts among streams on engines of which some read slowly.
func TestALongPromptGoesWhereItHoldsNoStreamsUp(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens int
		both   bool
		want   string
	}{
		"a long prompt, both hold the adapter":  {6000, true, "fast"},
		"a short prompt, both hold the adapter": {1000, true, "slow"},
		"a long prompt is worth no fetch":       {6000, false, "slow"},
	} {
		fl := fleetOf("fast", "slow")
		fl.Put(Server{ID: "fast", Service: "advice", Zone: "z2", Region: "r1", Engine: true, Model: "m", Born: 1})
		held := []Hold{{Adapter: "x", Version: 1, Ready: true}}
		if tc.both {
			tell(fl, "fast", held...)
		}
		fl.Told("slow", Load{Load: grant.Load{
			Known: true, Model: "m", Slots: 2, MemoryFree: 100_000, Running: 8, BurstMax: 4300,
		}, At: start}, held)
		rq := ask("x")
		rq.PromptTokens = tc.tokens
		if ch := chosen(t, fl, rq, start); ch.ID != tc.want {
			t.Errorf("%s: chose %+v", name, ch)
		}
	}
}

func TestAnEngineThatRestartedHasNoCopies(t *testing.T) {
	fl := fleetOf("e1")
	tell(fl, "e1", Hold{Adapter: "x", Version: 1, Ready: true})
	fl.Told("e1", Load{Load: grant.Load{Known: true, Model: "m", Born: 2, Slots: 2, MemoryFree: 100_000}, At: start}, nil)
	if ch := chosen(t, fl, ask("x"), start); ch.Wait < 250*time.Millisecond {
		t.Errorf("expects %v for an adapter that must be fetched", ch.Wait)
	}
}

func TestAnOverloadedHolderIsLeftForAFetch(t *testing.T) {
	fl := fleetOf("e1", "e2")
	tell(fl, "e1", Hold{Adapter: "x", Version: 1, Ready: true})
	fl.Told("e1", Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, MemoryFree: 100_000, Backlog: 3 * time.Second}, At: start}, nil)
	if ch := chosen(t, fl, ask("x"), start); ch.ID != "e2" {
		t.Errorf("chose %+v behind three seconds of prompts", ch)
	}
}

func TestWhatWasSentSinceTheReportCounts(t *testing.T) {
	fl := fleetOf("e1", "e2")
	tell(fl, "e1", Hold{Adapter: "x", Version: 1, Ready: true})
	tell(fl, "e2", Hold{Adapter: "x", Version: 1, Ready: true})
	first := chosen(t, fl, ask("x"), start).ID
	fl.Sent(first, 5000, start)
	if second := chosen(t, fl, ask("x"), start).ID; second == first {
		t.Error("two requests in a row went to one of two equal engines")
	}
}

func TestADrainingEngineIsNeverChosen(t *testing.T) {
	fl := fleetOf("e1")
	fl.Told("e1", Load{Load: grant.Load{Known: true, Model: "m", Slots: 2, Draining: true}, At: start}, nil)
	if ch, ok := fl.Choose(ask("x"), start); ok {
		t.Errorf("chose %+v", ch)
	}
}

func TestASilentEngineIsLeftWhileAnotherCanBeHad(t *testing.T) {
	fl := fleetOf("e1", "e2")
	tell(fl, "e1", Hold{Adapter: "x", Version: 1, Ready: true})
	fl.Sent("e1", 100, start)
	later := start.Add(silenceMax + time.Millisecond)
	if ch := chosen(t, fl, ask("x"), later); ch.ID != "e2" {
		t.Errorf("chose %+v", ch)
	}
	fl.Heard("e1", later)
	if ch := chosen(t, fl, ask("x"), later); ch.ID != "e1" {
		t.Errorf("chose %+v after a sign of life", ch)
	}
}

// The load: streams on an engine whose host freezes, and whose callers leave.
func TestAnEngineLeftForItsSilenceRestsUntilItIsHeard(t *testing.T) {
	fl := fleetOf("e1", "e2")
	tell(fl, "e1", Hold{Adapter: "x", Version: 1, Ready: true})
	fl.Sent("e1", 100, start)
	later := start.Add(silenceMax + time.Millisecond)
	fl.Abandoned("e1", later)
	fl.Done("e1")
	if ch := chosen(t, fl, ask("x"), later); ch.ID != "e2" {
		t.Errorf("chose %+v again once its last request had been taken from it", ch)
	}
	fl.Heard("e1", later)
	if ch := chosen(t, fl, ask("x"), later); ch.ID != "e1" {
		t.Errorf("chose %+v after a sign of life", ch)
	}
	fl.Abandoned("e1", later)
	if ch := chosen(t, fl, ask("x"), later.Add(quietRest)); ch.ID != "e1" {
		t.Errorf("chose %+v, the engine is never tried again", ch)
	}
}

func TestAnEngineRestsWhoseAgentDoesNotAnswerWhileNothingElseComes(t *testing.T) {
	asked := start.Add(time.Second)
	now := asked.Add(200 * time.Millisecond)
	for name, tc := range map[string]struct {
		heard time.Time
		want  string
	}{
		"nothing came since": {asked.Add(-time.Millisecond), "e2"},
		"its streams go on":  {asked.Add(time.Millisecond), "e1"},
	} {
		fl := fleetOf("e1", "e2")
		fl.Put(Server{ID: "e2", Service: "advice", Zone: "z2", Region: "r2", Engine: true, Model: "m", Born: 1})
		tell(fl, "e1", Hold{Adapter: "x", Version: 1, Ready: true})
		fl.Heard("e1", tc.heard)
		fl.Unanswered("e1", asked, now)
		if ch := chosen(t, fl, ask("x"), now); ch.ID != tc.want {
			t.Errorf("%s: chose %+v", name, ch)
		}
	}
}

func TestAnEngineWhoseAgentIsSilentRunsOnlyWhatItHolds(t *testing.T) {
	fl := fleetOf("e1")
	tell(fl, "e1", Hold{Adapter: "x", Version: 1, Ready: true})
	fl.Untold("e1")
	if ch := chosen(t, fl, ask("x"), start); ch.Reason != Direct {
		t.Errorf("chose %+v", ch)
	}
	if ch, ok := fl.Choose(ask("y"), start); ok {
		t.Errorf("chose %+v for an adapter that nobody can load", ch)
	}
	old := ask("x")
	old.Version, old.Settled = 2, true
	if ch, ok := fl.Choose(old, start); ok {
		t.Errorf("chose %+v for a version that it does not hold", ch)
	}
}

func TestAServerThatFailedTheRequestIsTheLastResort(t *testing.T) {
	fl := &Fleet{}
	for _, id := range []string{"p1", "p2"} {
		fl.Put(Server{ID: id, Service: "ledger", Zone: "z1", Region: "r1", Places: 4})
	}
	rq := Request{Service: "ledger", Zone: "z1", Region: "r1", Exclude: []string{"p1"}}
	if ch := chosen(t, fl, rq, start); ch.ID != "p2" {
		t.Errorf("chose %s", ch.ID)
	}
	fl.Remove("p2")
	if ch := chosen(t, fl, rq, start); ch.ID != "p1" {
		t.Errorf("chose %s", ch.ID)
	}
}

func TestFailuresDoNotCountAsWaiting(t *testing.T) {
	fl := &Fleet{}
	fl.Put(Server{ID: "p1", Service: "ledger", Zone: "z1", Region: "r1", Places: 4})
	for range 30 {
		fl.Failed("p1", start)
	}
	if ch := chosen(t, fl, Request{Service: "ledger", Zone: "z1", Region: "r1"}, start); ch.Wait > 50*time.Millisecond {
		t.Errorf("expects a wait of %v at an idle server that fails", ch.Wait)
	}
}

func TestNodesThatDoNotTalkAgreeOnTheFirstEngine(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the same home from every zone", prop.ForAll(func(adapter string) bool {
		first := ""
		for _, zone := range []string{"z1", "z2", "z3"} {
			fl := fleetOf("e1", "e2", "e3", "e4", "e5")
			rq := ask(adapter)
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
