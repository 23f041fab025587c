package spread

import (
	"slices"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// burstFleet returns 40 engines whose agents have measured burst rates: the first 13 a share of the others' rate.
func burstFleet(rate int, share float64) *Fleet {
	fl := &Fleet{}
	for ix := range 40 {
		id := engineID(ix)
		fl.Put(Server{ID: id, Service: "advice", Zone: "z1", Region: "r1", Engine: true, Model: "m", Born: 1})
	}
	for round := range 2 {
		for ix := range 40 {
			reportBurstRate(fl, ix, rate, share, start.Add(time.Duration(round)*2*time.Second))
		}
	}
	return fl
}

// reportBurstRate reports the burst rate of an engine of burstFleet.
func reportBurstRate(fl *Fleet, ix, rate int, share float64, at time.Time) {
	if ix < 13 {
		rate = int(share * float64(rate))
	}
	fl.AgentReported(engineID(ix), Load{ReportedAt: at, Load: grant.Load{
		Known: true, Model: "m", Born: 1, Slots: 4, MemoryFree: 100_000, BurstRate: rate, Backlog: 100 * time.Millisecond,
	}}, []AdapterSlot{})
}

// All engines are at least as fast as assumed, but 13 of 40 have less than half of the others' speed. An agent that
// knows only its own engine finds none of them slow, and a third of the adapters is loaded there.
func TestEnginesMuchSlowerThanTheOthersAreHomeToFewerAdapters(t *testing.T) {
	const adapters = 4000
	before, after := onSlow(homes(t, burstFleet(0, 1), adapters)), onSlow(homes(t, burstFleet(36_000, 0.45), adapters))
	// 13 engines with half the weight of 27 others.
	if want := 6.5 / 33.5; before < 0.3 || after < want-0.03 || after > want+0.03 {
		t.Errorf("slow engines are home to %.2f of the adapters, %.2f without reports; want %.2f", after, before, want)
	}
}

// A backlog that an agent has computed at the usual rate takes longer on an engine that is slower than the others.
func TestBacklogOfAnEngineMuchSlowerThanTheOthersGrows(t *testing.T) {
	fl := burstFleet(36_000, 0.5)
	if got := fl.members[engineID(0)].load.Backlog; got < 190*time.Millisecond || got > 210*time.Millisecond {
		t.Errorf("backlog %v, want 200ms", got)
	}
	if got := fl.members[engineID(20)].load.Backlog; got != 100*time.Millisecond {
		t.Errorf("backlog of one of the others %v, want 100ms", got)
	}
}

// Deployments whose engines differ by less than a third are served as without measured rates.
func TestEnginesOfSimilarSpeedKeepTheirAdapters(t *testing.T) {
	want := homes(t, burstFleet(0, 1), 1000)
	for _, share := range []float64{0.72, 1, 1.3} {
		if got := homes(t, burstFleet(15_000, share), 1000); !slices.Equal(got, want) {
			t.Errorf("share %.2f: adapters have other homes", share)
		}
	}
}

// An engine that restarts, or whose slow spell ends, gets its adapters back.
func TestEngineThatIsNoLongerSlowerGetsItsAdaptersBack(t *testing.T) {
	fl := burstFleet(36_000, 0.45)
	for ix := range 40 {
		reportBurstRate(fl, ix, 36_000, 1, start.Add(10*time.Second))
	}
	if !slices.Equal(homes(t, fl, 1000), homes(t, burstFleet(0, 1), 1000)) {
		t.Error("adapters have other homes although all engines are alike again")
	}
}
