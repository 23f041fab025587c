package limit

import (
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// admitted returns how many of a number of requests at one moment are admitted.
func admitted(ts *Teams, li conf.Limits, count int, now time.Time) int {
	total := 0
	for range count {
		if ts.Admit("team", li, now) == nil {
			total++
		}
	}
	return total
}

// Operators who change a team's limits to and fro must not give it a full bucket each time.
func TestChangedLimitsKeepTheLevelOfTheBucket(t *testing.T) {
	narrow, wide := conf.Limits{RequestsPerSecond: 1, Burst: 10}, conf.Limits{RequestsPerSecond: 2, Burst: 10}
	for name, other := range map[string]conf.Limits{"another rate": wide, "no limit": {Burst: 10}} {
		ts := &Teams{}
		if got := admitted(ts, narrow, 20, testStart); got != 10 {
			t.Fatalf("%s: %d requests admitted at first, want 10", name, got)
		}
		again := 0
		for range 5 {
			_ = ts.usageOf("team", other, testStart)
			again += admitted(ts, narrow, 20, testStart)
		}
		if again != 0 {
			t.Errorf("%s: %d requests admitted after changes of the limits, want none", name, again)
		}
	}
}

func TestTeamWithoutALimitIsNotLimited(t *testing.T) {
	if got := admitted(&Teams{}, conf.Limits{}, 1000, testStart); got != 1000 {
		t.Errorf("%d of 1000 requests at one moment admitted without a limit", got)
	}
}
