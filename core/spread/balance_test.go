package spread

import (
	"math"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// herd replays 21 entry nodes whose reports are up to 600 ms old. All engines have a second of prompts to read, when
// one of them becomes empty. It returns how long the longest wait there and elsewhere was in the 3 s after that, and
// the requests it got of all.
func herd(sr *speedReplay) (most, elsewhere time.Duration, got, total int) {
	sr.reportEvery, sr.delay = 500*time.Millisecond, 100*time.Millisecond
	empty := sr.engines[0]
	for ix := range int(4 * time.Second / simStep) {
		sr.step(ix)
		since := sr.now.Sub(sr.start) - time.Second
		for _, re := range sr.engines {
			if since < 0 {
				re.readyAt = sr.now.Add(time.Second)
			}
		}
		if since == 0 {
			empty.readyAt, empty.slowness = sr.now, 1
		}
		if sr.rng.Float64() >= 70*simStep.Seconds() {
			continue
		}
		re := sr.arrive(sr.rng.IntN(len(sr.fleets)), "")
		if since < 0 {
			continue
		}
		total++
		if re == empty {
			got++
			most = max(most, re.readyAt.Sub(sr.now))
		} else {
			elsewhere = max(elsewhere, re.readyAt.Sub(sr.now))
		}
	}
	return most, elsewhere, got, total
}

func TestEntryNodesDoNotAllChooseTheEngineThatIsSuddenlyFastAndEmpty(t *testing.T) {
	bound := time.Second + backlogMargin + grant.PrefillTime(4100)
	for seed := range uint64(5) {
		speeds := []float64{8, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
		sr, blind := newSpeedReplay(seed, 21, true, speeds...), newSpeedReplay(seed, 21, true, speeds...)
		blind.uncounted, blind.unlimited = true, true
		most, elsewhere, got, total := herd(sr)
		blindMost, blindElsewhere, blindGot, _ := herd(blind)
		t.Logf("seed %d: longest wait %s there and %s elsewhere, %d of %d requests; on reports only %s, %s, %d", seed,
			most.Round(time.Millisecond), elsewhere.Round(time.Millisecond), got, total, blindMost.Round(time.Millisecond), blindElsewhere.Round(time.Millisecond), blindGot)
		if most > bound {
			t.Errorf("seed %d: the engine that became empty made a request wait for %s, want at most %s", seed, most, bound)
		}
		if blindMost <= bound {
			t.Errorf("seed %d: the longest wait there is %s on reports only: the replay shows nothing", seed, blindMost)
		}
	}
}

// zoneReplay replays demand that rises and falls by 55 % in each of three zones, with a period of 17 s and one zone
// after the other. It returns the requests that cross zones, and how many of them cross in one direction while another
// one crosses in the opposite direction within a second.
func zoneReplay(sr *speedReplay, perSecond float64) (crossed, exchanged int) {
	sr.zones = 3
	for nr, re := range sr.engines {
		re.zone = sr.zone(nr)
		sr.put(re)
	}
	flows := map[string]int{}
	for ix := range int(85 * time.Second / simStep) {
		sr.step(ix)
		seconds := sr.now.Sub(sr.start).Seconds()
		for zone := range sr.zones {
			demand := 1 + 0.55*math.Sin(2*math.Pi*(seconds/17+float64(zone)/3))
			if sr.rng.Float64() >= perSecond/3*demand*simStep.Seconds() {
				continue
			}
			entry := zone + sr.zones*sr.rng.IntN(len(sr.fleets)/sr.zones)
			if re := sr.arrive(entry, ""); re.zone != sr.zone(entry) {
				crossed++
				flows[sr.zone(entry)+re.zone]++
			}
		}
		if seconds == math.Trunc(seconds) {
			exchanged += min(flows["z1z2"], flows["z2z1"]) + min(flows["z1z3"], flows["z3z1"]) + min(flows["z2z3"], flows["z3z2"])
			flows = map[string]int{}
		}
	}
	return crossed, exchanged
}

// At the peak of its demand, a zone gets more than its engines can read. If requests never cross, they are late; if
// crossing costs nothing, most cross, and in both directions all the time.
func TestDemandThatMovesBetweenZonesIsServedWithoutOscillation(t *testing.T) {
	for name, load := range map[string]struct {
		speeds    []float64
		perSecond float64
	}{
		"equal":   {[]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 62},
		"unequal": {unequal, 40},
	} {
		for seed := range uint64(3) {
			weighed, free, none := newSpeedReplay(seed, 21, true, load.speeds...), newSpeedReplay(seed, 21, true, load.speeds...), newSpeedReplay(seed, 21, true, load.speeds...)
			free.freeCrossing, none.noCrossing = true, true
			crossed, exchanged := zoneReplay(weighed, load.perSecond)
			freeCrossed, freeExchanged := zoneReplay(free, load.perSecond)
			zoneReplay(none, load.perSecond)
			t.Logf("%s, seed %d: %d of %d late, %d cross, %d in both directions; free crossing %d, %d, %d; no crossing %d late", name, seed,
				weighed.late, weighed.total, crossed, exchanged, free.late, freeCrossed, freeExchanged, none.late)
			if none.late == 0 || 10*weighed.late > none.late {
				t.Errorf("%s, seed %d: %d late, want at most a tenth of the %d without crossing", name, seed, weighed.late, none.late)
			}
			if 4*exchanged > freeExchanged {
				t.Errorf("%s, seed %d: %d cross in both directions, want at most a quarter of the %d with free crossing", name, seed, exchanged, freeExchanged)
			}
		}
	}
}
