package grant

import (
	"fmt"
	"testing"
	"time"
)

// sixteen returns the load of sixteen organisations of one rank, three of them large, that use three quarters of some
// engines. The first sends a multiple of its usual load.
func sixteen(engines int, factor float64) []replayOrganisation {
	organisations := make([]replayOrganisation, 0, 16)
	for ix := range 16 {
		perSecond := 0.4
		switch ix {
		case 0:
			perSecond = 4 * factor
		case 1, 2:
			perSecond = 2
		}
		organisations = append(organisations, replayOrganisation{
			name: fmt.Sprintf("o%02d", ix), perSecond: perSecond * float64(engines), urgency: 5, prompt: 800, output: 200, goal: time.Second,
		})
	}
	return organisations
}

// An organisation that sends 7.5 times its usual load fills the queues of all engines. The others must get their share of
// them regardless of how many of its requests arrived before.
func TestOrganisationWithManyRequestsCrowdsOutNoOther(t *testing.T) {
	for _, engines := range []int{1, 8} {
		for _, nameless := range []bool{true, false} {
			rp := newReplay(t, engines, 30_000, 6, sixteen(engines, 7.5))
			rp.nameless = nameless
			rp.run(20*time.Second, nil)
			lowest, jain := rp.fairness(3*time.Second, 17*time.Second)
			t.Logf("%d engines, without organisations %t: lowest part of a fair share %.2f, Jain's index %.3f", engines, nameless, lowest, jain)
			if !nameless && lowest < 0.5 {
				t.Errorf("%d engines: an organisation got %.2f of its fair share, want at least 0.5", engines, lowest)
			}
			if nameless && lowest >= 0.5 {
				t.Errorf("%d engines: without organisations each got %.2f of its fair share, so that the replay shows nothing", engines, lowest)
			}
		}
	}
}

// Three of eight engines crash while all organisations send three times their usual load for 4 s, and one of them 7.5
// times all the time.
func TestBurstWithCrashedEnginesIsShared(t *testing.T) {
	for _, nameless := range []bool{true, false} {
		rp := newReplay(t, 8, 30_000, 6, sixteen(8, 7.5))
		rp.nameless = nameless
		scale := func(factor float64) {
			for ix := range rp.organisations[1:] {
				rp.organisations[ix+1].perSecond *= factor
			}
		}
		rp.run(20*time.Second, func(elapsed time.Duration) {
			if elapsed == 6*time.Second {
				scale(3)
				for _, re := range rp.engines[:3] {
					rp.crash(re, 4*time.Second)
				}
			}
			if elapsed == 10*time.Second {
				scale(1.0 / 3)
			}
		})
		lowest, jain := rp.fairness(2*time.Second, 17*time.Second)
		t.Logf("without organisations %t: lowest part of a fair share %.2f, Jain's index %.3f", nameless, lowest, jain)
		if !nameless && lowest < 0.5 {
			t.Errorf("an organisation got %.2f of its fair share, want at least 0.5", lowest)
		}
		if nameless && lowest >= 0.5 {
			t.Errorf("without organisations each got %.2f of its fair share, so that the replay shows nothing", lowest)
		}
	}
}

// A small organisation sends one request every other second beside one with thousands.
func TestSmallOrganisationIsServedBesideALargeOne(t *testing.T) {
	for _, nameless := range []bool{true, false} {
		rp := newReplay(t, 1, 30_000, 6, []replayOrganisation{
			{name: "small", perSecond: 0.5, urgency: 5, prompt: 800, output: 200, goal: time.Second},
			{name: "large", perSecond: 150, urgency: 5, prompt: 800, output: 200, goal: time.Second},
		})
		rp.nameless = nameless
		rp.run(30*time.Second, nil)
		lowest, jain := rp.fairness(2*time.Second, 27*time.Second)
		t.Logf("without organisations %t: lowest part of a fair share %.2f, Jain's index %.3f", nameless, lowest, jain)
		if !nameless && lowest < 0.5 {
			t.Errorf("an organisation got %.2f of its fair share, want at least 0.5", lowest)
		}
		if nameless && lowest >= 0.5 {
			t.Errorf("without organisations each got %.2f of its fair share, so that the replay shows nothing", lowest)
		}
	}
}

// Fifteen organisations send more urgent requests than the engine can serve. The least urgent organisation gets at least
// half of its fair share all the same.
func TestLeastUrgentOrganisationGetsHalfOfItsShare(t *testing.T) {
	organisations := sixteen(1, 1)
	for ix := range organisations {
		organisations[ix].perSecond, organisations[ix].urgency = 3, 9-ix/2
	}
	rp := newReplay(t, 1, 30_000, 6, organisations)
	rp.run(30*time.Second, nil)
	lowest, jain := rp.fairness(2*time.Second, 27*time.Second)
	t.Logf("lowest part of a fair share %.2f, Jain's index %.3f", lowest, jain)
	if lowest < 0.5 {
		t.Errorf("an organisation got %.2f of its fair share, want at least 0.5", lowest)
	}
}

// An organisation that asks for forty rare adapters in turn must not take all loads and slots of an engine from others
// that use few.
func TestRareAdaptersOfOneOrganisationLeaveSlotsToOthers(t *testing.T) {
	for _, nameless := range []bool{true, false} {
		rare := make([]string, 0, 40)
		for ix := range 40 {
			rare = append(rare, fmt.Sprintf("rare%02d", ix))
		}
		organisations := make([]replayOrganisation, 0, 4)
		organisations = append(organisations, replayOrganisation{name: "large", perSecond: 40, urgency: 5, prompt: 400, output: 60, adapters: rare, goal: time.Second})
		for ix := range 3 {
			name := fmt.Sprintf("small%d", ix)
			organisations = append(organisations, replayOrganisation{name: name, perSecond: 1, urgency: 5, prompt: 400, output: 60, adapters: []string{name}, goal: time.Second})
		}
		rp := newReplay(t, 1, 30_000, 6, organisations)
		rp.nameless = nameless
		rp.run(30*time.Second, nil)
		lowest, jain := rp.fairness(2*time.Second, 27*time.Second)
		t.Logf("without organisations %t: lowest part of a fair share %.2f, Jain's index %.3f", nameless, lowest, jain)
		if !nameless && lowest < 0.5 {
			t.Errorf("an organisation got %.2f of its fair share, want at least 0.5", lowest)
		}
		if nameless && lowest >= 0.5 {
			t.Errorf("without organisations each got %.2f of its fair share, so that the replay shows nothing", lowest)
		}
	}
}

// An organisation whose adapters fill all slots and are requested all the time must let an adapter of another one in.
func TestBusyAdaptersOfOneOrganisationGiveUpASlot(t *testing.T) {
	for _, nameless := range []bool{true, false} {
		busy := make([]string, 0, 6)
		for ix := range 6 {
			busy = append(busy, fmt.Sprintf("busy%d", ix))
		}
		rp := newReplay(t, 1, 30_000, 6, []replayOrganisation{
			{name: "large", perSecond: 40, urgency: 5, prompt: 800, output: 100, adapters: busy, goal: time.Second},
			{name: "small", perSecond: 0, urgency: 5, prompt: 800, output: 100, adapters: []string{"other"}, goal: time.Second},
		})
		rp.nameless = nameless
		rp.run(30*time.Second, func(elapsed time.Duration) {
			if elapsed == 3*time.Second {
				rp.organisations[1].perSecond = 2
			}
		})
		lowest, _ := rp.fairness(5*time.Second, 27*time.Second)
		t.Logf("without organisations %t: lowest part of a fair share %.2f", nameless, lowest)
		if !nameless && lowest < 0.5 {
			t.Errorf("an organisation got %.2f of its fair share, want at least 0.5", lowest)
		}
		if nameless && lowest >= 0.5 {
			t.Errorf("without organisations each got %.2f of its fair share, so that the replay shows nothing", lowest)
		}
	}
}

// Requests without an organisation have one share in common, beside those of organisations: neither crowds out the other.
func TestRequestsWithoutOrganisationHaveOneShare(t *testing.T) {
	for _, perSecond := range [...][2]float64{{60, 1}, {1, 60}} {
		rp := newReplay(t, 1, 30_000, 6, []replayOrganisation{
			{name: "", perSecond: perSecond[0], urgency: 5, prompt: 800, output: 200, goal: time.Second},
			{name: "named", perSecond: perSecond[1], urgency: 5, prompt: 800, output: 200, goal: time.Second},
		})
		rp.run(30*time.Second, nil)
		lowest, jain := rp.fairness(2*time.Second, 27*time.Second)
		t.Logf("%v requests a second without and with an organisation: lowest part of a fair share %.2f, Jain's index %.3f", perSecond, lowest, jain)
		if lowest < 0.5 {
			t.Errorf("%v requests a second: one side got %.2f of its fair share, want at least 0.5", perSecond, lowest)
		}
	}
}
