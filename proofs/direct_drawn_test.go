package proofs

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
)

// Environment variables of a hunt: the number of seeds, the first one, the most faults of a history, the classes of faults that are left out, and
// whether a find is shrunk.
const (
	envDrawnSeeds   = "DRAWN_SEEDS"
	envDrawnFrom    = "DRAWN_FROM"
	envDrawnFaults  = "DRAWN_FAULTS"
	envDrawnWithout = "DRAWN_WITHOUT"
	envDrawnShrink  = "DRAWN_SHRINK"
)

const (
	// drawnSeeds is the number of seeds without a hunt.
	drawnSeeds = 30
	// shrinkPlays is how often a smaller plan is played: a find may need a chance that is not drawn.
	shrinkPlays = 3
	// wholeShareMin is the share of streams that must become whole over all seeds, so that there is something to check.
	wholeShareMin = 0.5
	// stopWholeShareMin is the share of requests around planned stops that must get a whole answer over all seeds.
	stopWholeShareMin = 0.3
)

// drawnWithout holds the classes that are left out without a hunt: they show what is known to remain.
var drawnWithout = []string{classBeginning}

// drawnSettings is which histories are played.
type drawnSettings struct {
	from, count uint64
	faultsMax   int
	without     []string
	shrinks     bool
}

// readDrawnSettings reads the settings from the environment.
func readDrawnSettings() drawnSettings {
	ds := drawnSettings{from: 1, count: drawnSeeds, faultsMax: drawnFaults, without: drawnWithout, shrinks: os.Getenv(envDrawnShrink) != ""}
	if count, err := strconv.ParseUint(os.Getenv(envDrawnSeeds), 10, 64); err == nil {
		ds.count = count
	}
	if from, err := strconv.ParseUint(os.Getenv(envDrawnFrom), 10, 64); err == nil {
		ds.from = from
	}
	if count, err := strconv.Atoi(os.Getenv(envDrawnFaults)); err == nil && count > 0 {
		ds.faultsMax = count
	}
	if text, ok := os.LookupEnv(envDrawnWithout); ok {
		ds.without = strings.Split(text, ",")
	}
	return ds
}

// playPlan plays a plan in virtual time and returns what callers and servers recorded.
func playPlan(t *testing.T, plan drawnPlan) *drawnHistory {
	t.Helper()
	dh := (*drawnHistory)(nil)
	synctest.Test(t, func(t *testing.T) {
		dw := newDrawnWorld(t, plan)
		defer dw.ds.close()
		dh = dw.play(t.Context())
	})
	return dh
}

// breaks reports whether one of some plays of a plan breaks a rule.
func (dp drawnPlan) breaks(t *testing.T, rule string) bool {
	t.Helper()
	for range shrinkPlays {
		if slices.ContainsFunc(playPlan(t, dp).check(), func(df drawnFind) bool { return df.rule == rule }) {
			return true
		}
	}
	return false
}

// shrink leaves out faults as long as a rule is still broken.
func (dp drawnPlan) shrink(t *testing.T, rule string) drawnPlan {
	t.Helper()
	for ix := len(dp.Faults) - 1; ix >= 0; ix-- {
		smaller := dp
		smaller.Faults = slices.Delete(slices.Clone(dp.Faults), ix, ix+1)
		if smaller.breaks(t, rule) {
			dp = smaller
		}
	}
	return dp.shrinkVisits(t, rule)
}

// drawnCount counts streams that may be resumed, over histories, and requests that are drawn for planned stops.
type drawnCount struct {
	asked, whole, takenUp, asks, requests, runs int
	stops                                       stopCount
}

// add counts a history.
func (dc *drawnCount) add(dh *drawnHistory) {
	dc.runs += len(dh.runs)
	for _, da := range dh.asks {
		dc.asks++
		dc.requests += len(da.replies)
		if da.visit {
			dc.stops.add(dh, &da.replies[0])
			continue
		}
		if da.kind != askStream {
			continue
		}
		dc.asked++
		if da.replies[len(da.replies)-1].looksWhole() {
			dc.whole++
		}
		if slices.ContainsFunc(da.replies, func(dr drawnReply) bool { return dr.last > 0 }) {
			dc.takenUp++
		}
	}
}

// report reports the finds of a history, each rule with its first one.
func (ds *drawnSettings) report(t *testing.T, plan drawnPlan, dh *drawnHistory) {
	t.Helper()
	reported := map[string]bool{}
	for _, df := range dh.check() {
		if reported[df.rule] {
			continue
		}
		reported[df.rule] = true
		t.Errorf("%s: %s\n%s\n%s\nagain: make drawn-hunt %s=%d %s=1 %s=%d %s=%s", df.rule, df.text, dh.describe(df.ask), plan,
			envDrawnFrom, plan.Seed, envDrawnSeeds, envDrawnFaults, ds.faultsMax, envDrawnWithout, strings.Join(ds.without, ","))
		if ds.shrinks {
			t.Logf("the fewest faults:\n%s", plan.shrink(t, df.rule))
		}
	}
}

// Deployments, faults and callers are drawn from seeds, and what callers and servers recorded must break no rule.
func TestDrawnHistoriesBreakNoRule(t *testing.T) {
	ds, dc := readDrawnSettings(), drawnCount{}
	for seed := ds.from; seed < ds.from+ds.count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			plan := drawPlan(seed, ds.faultsMax, ds.without)
			dh := playPlan(t, plan)
			dc.add(dh)
			ds.report(t, plan, dh)
		})
	}
	t.Logf("%+v", dc)
	if ds.count >= drawnSeeds && float64(dc.whole) < wholeShareMin*float64(dc.asked) {
		t.Errorf("only %d of %d streams became whole", dc.whole, dc.asked)
	}
	if ds.count >= drawnSeeds && float64(dc.stops.whole) < stopWholeShareMin*float64(dc.stops.inStop) {
		t.Errorf("only %d of %d requests around stops got a whole answer", dc.stops.whole, dc.stops.inStop)
	}
}
