package spread

import (
	"testing"
	"time"
)

// largeLoad is a third of the largest deployment: 68 entry nodes whose view of the engines is up to
// a second old, and an adapter that nobody used before is suddenly in a fifth of all requests.
var largeLoad = simLoad{
	engines: 40, entries: 68, requestsPerSecond: 180, reportInterval: time.Second, storeLoads: 19,
	hotShare: 0.2, hotFrom: 15 * time.Second, hotFor: 10 * time.Second,
}

// lateMax is the largest share of requests whose first event may be late on a day on which nothing
// fails, hotOnTimeMin the least share of those for the suddenly popular adapter that is on time.
const (
	lateMax      = 0.03
	hotOnTimeMin = 0.9
)

// All entry nodes choose the same engine for an adapter that suddenly becomes popular, and hear too
// late that it is overloaded. The engine's agent must send them elsewhere.
func TestSuddenlyPopularAdapterDoesNotOverloadOneEngine(t *testing.T) {
	for seed := range uint64(3) {
		redirected, byReports := newSimulation(seed, largeLoad, cheapest), newSimulation(seed, largeLoad, cheapestOnReports)
		redirected.run()
		byReports.run()
		t.Logf("seed %d: %d of %d on time, hot %d of %d, %d redirected, %d fetches; on reports only %d, hot %d, %d fetches", seed,
			redirected.onTime, redirected.total, redirected.hotOnTime, redirected.hotTotal, redirected.redirected, redirected.fetches,
			byReports.onTime, byReports.hotOnTime, byReports.fetches)
		if late := 1 - float64(redirected.onTime)/float64(redirected.total); late > lateMax {
			t.Errorf("seed %d: %.3f of the requests are late or refused, want at most %.2f", seed, late, lateMax)
		}
		if share := float64(redirected.hotOnTime) / float64(redirected.hotTotal); share < hotOnTimeMin {
			t.Errorf("seed %d: %.2f of the requests for the suddenly popular adapter are on time, want %.2f", seed, share, hotOnTimeMin)
		}
	}
}
