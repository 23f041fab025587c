package spread

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// unequalFleet returns 40 engines, 13 of which prefill at a share of the usual rate.
func unequalFleet(share float64) *Fleet {
	fl := &Fleet{}
	for ix := range 40 {
		id := engineID(ix)
		fl.Put(Server{ID: id, Service: "advice", Zone: "z1", Region: "r1", Engine: true, Model: "m", Born: 1})
		report(fl, id)
		if ix < 13 {
			reportRate(fl, id, int(share*usualPrefillRate), start)
		}
	}
	return fl
}

func engineID(ix int) string { return "engine-" + strconv.Itoa(ix) }

// homes returns the engine that should load each adapter.
func homes(t *testing.T, fl *Fleet, adapters int) []string {
	t.Helper()
	list := make([]string, 0, adapters)
	for ix := range adapters {
		ids := preferredIDs(fl, requestFor("a"+strconv.Itoa(ix)))
		if len(ids) != 1 {
			t.Fatalf("adapter %d has the homes %v, want one", ix, ids)
		}
		list = append(list, ids[0])
	}
	return list
}

// onSlow returns the share of adapters whose home is one of the first 13 engines.
func onSlow(list []string) float64 {
	slow := 0
	for _, id := range list {
		if ix, _ := strconv.Atoi(id[len("engine-"):]); ix < 13 {
			slow++
		}
	}
	return float64(slow) / float64(len(list))
}

// 13 of 40 engines are slow. If placement ignores that, a third of the adapters is loaded there, and their
// requests stay there because a further fetch costs more.
func TestSlowEnginesAreHomeToAdaptersInProportionToTheirCapacity(t *testing.T) {
	const adapters = 4000
	before := homes(t, unequalFleet(1), adapters)
	for share, capacity := range map[float64]float64{1: 1, 0.5: 0.5, 0.25: 0.25, 0.1: 0.25} {
		list := homes(t, unequalFleet(share), adapters)
		want, got := 13*capacity/(13*capacity+27), onSlow(list)
		t.Logf("at %.2f of the usual rate: %.3f of the adapters are on slow engines, by capacity %.3f", share, got, want)
		if deviation := 4 * math.Sqrt(want*(1-want)/adapters); math.Abs(got-want) > deviation {
			t.Errorf("at %.2f of the usual rate: %.3f of the adapters are on slow engines, want %.3f", share, got, want)
		}
		for ix, id := range list {
			if moved := before[ix] != id; moved && onSlow(before[ix:ix+1]) == 0 {
				t.Errorf("adapter %d has moved from %s, whose speed hasn't changed, to %s", ix, before[ix], id)
			}
		}
	}
}

// An adapter moves when the class of an engine changes only if it leaves or joins that engine.
func TestChangeOfACapacityClassMovesOnlyAdaptersOfThatEngine(t *testing.T) {
	shares := []float64{1, 0.5, 0.2}
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("other adapters stay", prop.ForAll(func(classes []int, changed, class int) bool {
		fl := unequalFleet(1)
		for ix, class := range classes {
			reportRate(fl, engineID(ix), int(shares[class]*usualPrefillRate), start)
		}
		before := homes(t, fl, 300)
		reportRate(fl, engineID(changed), int(shares[class]*usualPrefillRate), start)
		for ix, id := range homes(t, fl, 300) {
			if id != before[ix] && id != engineID(changed) && before[ix] != engineID(changed) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(40, gen.IntRange(0, 2)), gen.IntRange(0, 39), gen.IntRange(0, 2)))
	properties.TestingRun(t)
}

// Measured rates vary from sample to sample. Without a margin, an engine near a boundary of the classes would gain
// and lose adapters all the time, and entry nodes that hear of it at different times would disagree.
func TestVaryingRateDoesNotMoveAdapters(t *testing.T) {
	const nodes, reports = 30, 200
	for _, bound := range []float64{halfBound, quarterBound} {
		rng, fleets, changes := rand.New(rand.NewPCG(1, 1)), [nodes]*Fleet{}, 0
		for node := range fleets {
			fleets[node] = fleetOf("e1", "e2")
			reportRate(fleets[node], "e1", int(0.8*bound*usualPrefillRate), start)
		}
		for ix := range reports {
			share := bound * (0.93 + 0.14*rng.Float64())
			for _, fl := range fleets {
				earlier := fl.members["e1"].class
				if rng.Float64() < 0.5 {
					reportRate(fl, "e1", int(share*usualPrefillRate), start.Add(time.Duration(ix)*time.Second))
				}
				if fl.members["e1"].class != earlier {
					changes++
				}
			}
		}
		for node, fl := range fleets {
			if fl.members["e1"].class != fleets[0].members["e1"].class {
				t.Errorf("node %d has the engine in class %d, node 0 in class %d", node, fl.members["e1"].class, fleets[0].members["e1"].class)
			}
		}
		if changes > 0 {
			t.Errorf("the class has changed %d times in %d reports within 7 %% of %.2f", changes, reports, bound)
		}
	}
}

// A popular adapter whose only engine is slow needs a second one that isn't: the slow engine alone would make its
// users wait, and a further fetch would cost more than that.
func TestPopularAdapterOfASlowEngineGetsAFasterOneAsWell(t *testing.T) {
	for ix := range 100 {
		fl, rq := unequalFleet(0.25), requestFor("a"+strconv.Itoa(ix))
		report(fl, "engine-0", AdapterSlot{Adapter: rq.Adapter, Version: 1, Ready: true, Users: 1})
		reportRate(fl, "engine-0", usualPrefillRate/4, start)
		if ids := preferredIDs(fl, rq); len(ids) != 0 {
			t.Fatalf("adapter %s isn't popular, but should be loaded on %v", rq.Adapter, ids)
		}
		rq.Popular = true
		ids, units := preferredIDs(fl, rq), 0
		for _, id := range ids {
			units += fl.members[id].class.units()
		}
		if last := len(ids) - 1; units < fullCapacity.units() || last >= 4 {
			t.Errorf("adapter %s should be loaded on %v, of %d quarters of the usual capacity", rq.Adapter, ids, units)
		}
	}
}

// With slow engines counted as whole ones, a popular adapter would get too few.
func TestUsersAreCountedPerCapacity(t *testing.T) {
	for users, want := range map[int]int{0: 1, usersPerEngine: 2, 4 * usersPerEngine: 5} {
		fl := fleetOf("e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "ea", "eb")
		rq := requestFor("x")
		rq.Popular = true
		report(fl, "e0", AdapterSlot{Adapter: "x", Version: 1, Ready: true, Users: users})
		if ids := preferredIDs(fl, rq); len(ids) != want {
			t.Errorf("%d users: engines of usual speed %v should load the adapter, want %d", users, ids, want)
		}
		for id := range fl.members {
			reportRate(fl, id, usualPrefillRate/2, start)
		}
		if ids := preferredIDs(fl, rq); len(ids) != 2*want {
			t.Errorf("%d users: engines of half the usual speed %v should load the adapter, want %d", users, ids, 2*want)
		}
	}
}

// A rare adapter whose only engine is slow is fetched to another engine once the wait there costs more than the fetch.
// By the usual speed, the wait appears short and all requests stay.
func TestAdapterOfABusySlowEngineIsFetchedToOneMore(t *testing.T) {
	for rate, want := range map[int]string{0: "e1", usualPrefillRate / 4: "e2"} {
		fl, rq := fleetOf("e1", "e2"), requestFor("x")
		report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
		reportRate(fl, "e1", rate, start)
		if ch := mustChoose(t, fl, rq, start); ch.ID != "e1" {
			t.Errorf("rate %d: chose %s while the engine with the adapter is idle", rate, ch.ID)
		}
		for range 3 {
			fl.Sent("e1", 2400, start)
		}
		if ch := mustChoose(t, fl, rq, start); ch.ID != want {
			t.Errorf("rate %d: chose %s with a wait of %s, want %s", rate, ch.ID, ch.Wait, want)
		}
	}
}
