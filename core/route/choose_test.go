package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

var even = conf.Weights{LoadStall: 1, BatchEfficiency: 1, Queueing: 1, RegionCrossing: 1}

// runner returns a runner that holds adapters of version 1.
func runner(name string, load int, adapters ...string) Runner {
	ru := Runner{Name: name, Boot: "boot", Model: "base", Region: "here", Slots: 4, Places: 8, Reported: load}
	for _, adapter := range adapters {
		ru.Holds = append(ru.Holds, Hold{Adapter: conf.AdapterVersion{Adapter: adapter, Version: 1}})
	}
	return ru
}

// request asks for an adapter of version 1.
func request(adapter string, weights conf.Weights) Request {
	return Request{Adapter: conf.AdapterVersion{Adapter: adapter, Version: 1}, Model: "base", Region: "here", Weights: weights}
}

func TestChoose(t *testing.T) {
	later := time.Unix(1000, 0)
	far := runner("far", 0, "cure")
	far.Region = "there"
	leaving := runner("leaving", 0, "cure")
	leaving.Leaving = true
	stalls, queues := even, even
	stalls.LoadStall, queues.Queueing = 100, 100
	cases := []struct {
		name    string
		runners []Runner
		request Request
		want    string
		reason  Reason
	}{
		{"the holder goes before a load", []Runner{runner("a", 0), runner("b", 2, "cure")}, request("cure", even), "b", HoldsAdapter},
		{"the fuller batch of two holders", []Runner{runner("a", 1, "cure"), runner("b", 5, "cure")}, request("cure", even), "b", HoldsAdapter},
		{"not beyond the batch", []Runner{runner("a", 1, "cure"), runner("b", 12, "cure")}, request("cure", even), "a", HoldsAdapter},
		{"stalls weigh more than queues", []Runner{runner("a", 0), runner("b", 16, "cure")}, request("cure", stalls), "b", HoldsAdapter},
		{"queues weigh more than stalls", []Runner{runner("a", 0), runner("b", 16, "cure")}, request("cure", queues), "a", MustLoad},
		{"the own region", []Runner{far, runner("near", 0, "cure")}, request("cure", even), "near", HoldsAdapter},
		{"none that leaves", []Runner{leaving, runner("a", 7)}, request("cure", even), "a", MustLoad},
		{"a free slot goes before an eviction", []Runner{runner("full", 0, "x", "y", "z", "w"), runner("free", 0, "x")}, request("cure", even), "free", MustLoad},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fl := Fleet{}
			for _, ru := range tc.runners {
				fl.Put(ru)
			}
			ch, ok := fl.Choose(tc.request, later)
			if !ok || ch.Runner != tc.want || ch.Reason != tc.reason {
				t.Fatalf("chose %s (%s) of %+v", ch.Runner, ch.Reason, ch.Candidates)
			}
		})
	}
}

func TestChooseEjects(t *testing.T) {
	fl, now := Fleet{}, time.Unix(1000, 0)
	fl.Put(runner("a", 0, "cure"))
	for range ejectAfter {
		fl.Failed("a", now)
	}
	if _, ok := fl.Choose(request("cure", even), now.Add(time.Second)); ok {
		t.Fatal("a runner that fails again and again was chosen")
	}
	if _, ok := fl.Choose(request("cure", even), now.Add(ejectPeriod)); !ok {
		t.Fatal("an ejected runner did not come back")
	}
	fl.Remove("a")
	if _, ok := fl.Choose(request("cure", even), now.Add(time.Hour)); ok {
		t.Fatal("a removed runner was chosen")
	}
}

// BenchmarkChoose measures one decision over fleets in which every runner holds four adapters.
func BenchmarkChoose(b *testing.B) {
	for _, adapters := range []int{3_000, 14_000} {
		for _, runners := range []int{18, 260, 6_500} {
			b.Run(fmt.Sprintf("adapters=%d/runners=%d", adapters, runners), func(b *testing.B) {
				fl := Fleet{}
				for ix := range runners {
					ru := runner(fmt.Sprint("runner-", ix), ix%8)
					for slot := range 4 {
						ru.Holds = append(ru.Holds, Hold{Adapter: conf.AdapterVersion{Adapter: fmt.Sprint("adapter-", (ix*4+slot)%adapters), Version: 1}})
					}
					fl.Put(ru)
				}
				requests := make([]Request, 1024)
				for ix := range requests {
					requests[ix] = request(fmt.Sprint("adapter-", ix*13%adapters), even)
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

// TestPreferredSpreads holds that adapters spread over runners, that all nodes agree
// and that a runner which leaves moves only its own adapters.
func TestPreferredSpreads(t *testing.T) {
	const adapters, runners = 3_000, 18
	first, second, now := Fleet{}, Fleet{}, time.Unix(1000, 0)
	for ix := range runners {
		first.Put(runner(fmt.Sprint("runner-", ix), 0))
		second.Put(runner(fmt.Sprint("runner-", runners-1-ix), 0))
	}
	shares, homes := map[string]int{}, map[int]string{}
	for ix := range adapters {
		rq := request(fmt.Sprint("adapter-", ix), even)
		one, _ := first.Choose(rq, now)
		two, _ := second.Choose(rq, now)
		if one != two {
			t.Fatalf("two nodes choose %s and %s", one.Runner, two.Runner)
		}
		shares[one.Runner]++
		homes[ix] = one.Runner
	}
	for name, share := range shares {
		if share > 2*adapters/runners {
			t.Errorf("%s has %d of %d adapters", name, share, adapters)
		}
	}
	first.Remove("runner-7")
	for ix, home := range homes {
		ch, _ := first.Choose(request(fmt.Sprint("adapter-", ix), even), now)
		if home != "runner-7" && ch.Runner != home {
			t.Fatalf("adapter-%d moved from %s to %s", ix, home, ch.Runner)
		}
	}
}
