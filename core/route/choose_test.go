package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

var equalWeights = conf.Weights{LoadStall: 1, BatchEfficiency: 1, Queueing: 1, RegionCrossing: 1}

// runner returns a runner with the given load that has adapters of version 1 loaded.
func runner(name string, load int, adapters ...string) Runner {
	ru := Runner{Name: name, Boot: "boot", Model: "base", Region: "here", Slots: 4, Places: 8, ReportedRequests: load}
	for _, adapter := range adapters {
		ru.AdapterSlots = append(ru.AdapterSlots, AdapterSlot{Adapter: conf.AdapterVersion{Adapter: adapter, Version: 1}})
	}
	return ru
}

// request returns a request for version 1 of an adapter.
func request(adapter string, weights conf.Weights) Request {
	return Request{Adapter: conf.AdapterVersion{Adapter: adapter, Version: 1}, Model: "base", Region: "here", Weights: weights}
}

func TestChooseTakesTheRunnerWithTheLowestWeightedCost(t *testing.T) {
	now := time.Unix(1000, 0)
	far := runner("far", 0, "cure")
	far.Region = "there"
	leaving := runner("leaving", 0, "cure")
	leaving.Leaving = true
	stallWeights, queueWeights := equalWeights, equalWeights
	stallWeights.LoadStall, queueWeights.Queueing = 100, 100
	cases := []struct {
		name    string
		runners []Runner
		request Request
		want    string
		reason  Reason
	}{
		{"a runner with the adapter is preferred to a load", []Runner{runner("a", 0), runner("b", 2, "cure")}, request("cure", equalWeights), "b", AdapterLoaded},
		{"of two runners with the adapter, the fuller batch", []Runner{runner("a", 1, "cure"), runner("b", 5, "cure")}, request("cure", equalWeights), "b", AdapterLoaded},
		{"a free place is preferred to a queue behind a full batch", []Runner{runner("a", 1, "cure"), runner("b", 12, "cure")}, request("cure", equalWeights), "a", AdapterLoaded},
		{"a high load stall weight prefers queueing to a load", []Runner{runner("a", 0), runner("b", 16, "cure")}, request("cure", stallWeights), "b", AdapterLoaded},
		{"a high queueing weight prefers a load to queueing", []Runner{runner("a", 0), runner("b", 16, "cure")}, request("cure", queueWeights), "a", MustLoad},
		{"the same region is preferred", []Runner{far, runner("near", 0, "cure")}, request("cure", equalWeights), "near", AdapterLoaded},
		{"a leaving runner is skipped", []Runner{leaving, runner("a", 7)}, request("cure", equalWeights), "a", MustLoad},
		{"a free slot is preferred to an eviction", []Runner{runner("full", 0, "x", "y", "z", "w"), runner("free", 0, "x")}, request("cure", equalWeights), "free", MustLoad},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fl := Fleet{}
			for _, ru := range tc.runners {
				fl.Put(ru)
			}
			ch, ok := fl.Choose(tc.request, now)
			if !ok || ch.Runner != tc.want || ch.Reason != tc.reason {
				t.Fatalf("chose %s (%s) of %+v", ch.Runner, ch.Reason, ch.Candidates)
			}
		})
	}
}

func TestChooseSkipsAnEjectedRunnerUntilThePeriodEnds(t *testing.T) {
	fl, now := Fleet{}, time.Unix(1000, 0)
	fl.Put(runner("a", 0, "cure"))
	for range ejectAfterFailures {
		fl.Failed("a", now)
	}
	if _, ok := fl.Choose(request("cure", equalWeights), now.Add(time.Second)); ok {
		t.Fatal("a runner was chosen within its ejection period")
	}
	if _, ok := fl.Choose(request("cure", equalWeights), now.Add(ejectPeriod)); !ok {
		t.Fatal("no runner was chosen after the ejection period")
	}
	fl.Remove("a")
	if _, ok := fl.Choose(request("cure", equalWeights), now.Add(time.Hour)); ok {
		t.Fatal("a removed runner was chosen")
	}
}

// BenchmarkChoose measures one choice in fleets whose runners have four adapters each.
func BenchmarkChoose(b *testing.B) {
	for _, adapters := range []int{3_000, 14_000} {
		for _, runners := range []int{18, 260, 6_500} {
			b.Run(fmt.Sprintf("adapters=%d/runners=%d", adapters, runners), func(b *testing.B) {
				fl := Fleet{}
				for ix := range runners {
					ru := runner(fmt.Sprint("runner-", ix), ix%8)
					for slot := range 4 {
						ru.AdapterSlots = append(ru.AdapterSlots, AdapterSlot{Adapter: conf.AdapterVersion{Adapter: fmt.Sprint("adapter-", (ix*4+slot)%adapters), Version: 1}})
					}
					fl.Put(ru)
				}
				requests := make([]Request, 1024)
				for ix := range requests {
					requests[ix] = request(fmt.Sprint("adapter-", ix*13%adapters), equalWeights)
				}
				now := time.Unix(1000, 0)
				b.ReportAllocs()
				b.ResetTimer()
				for ix := range b.N {
					fl.Choose(requests[ix%len(requests)], now)
				}
			})
		}
	}
}

// Adapters that no runner has loaded must be spread over the runners, two nodes must choose the
// same runner, and removing a runner must move only the adapters whose requests went to it.
func TestAdaptersSpreadOverRunnersAndMoveOnlyFromARemovedOne(t *testing.T) {
	const adapters, runners = 3_000, 18
	first, second, now := Fleet{}, Fleet{}, time.Unix(1000, 0)
	for ix := range runners {
		first.Put(runner(fmt.Sprint("runner-", ix), 0))
		second.Put(runner(fmt.Sprint("runner-", runners-1-ix), 0))
	}
	counts, chosen := map[string]int{}, map[int]string{}
	for ix := range adapters {
		rq := request(fmt.Sprint("adapter-", ix), equalWeights)
		one, _ := first.Choose(rq, now)
		two, _ := second.Choose(rq, now)
		if one != two {
			t.Fatalf("two nodes chose %s and %s", one.Runner, two.Runner)
		}
		counts[one.Runner]++
		chosen[ix] = one.Runner
	}
	for name, count := range counts {
		if count > 2*adapters/runners {
			t.Errorf("%s was chosen for %d of %d adapters, more than twice its share", name, count, adapters)
		}
	}
	first.Remove("runner-7")
	for ix, runnerName := range chosen {
		ch, _ := first.Choose(request(fmt.Sprint("adapter-", ix), equalWeights), now)
		if runnerName != "runner-7" && ch.Runner != runnerName {
			t.Fatalf("adapter-%d moved from %s to %s", ix, runnerName, ch.Runner)
		}
	}
}
