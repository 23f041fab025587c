package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func granted() bool { return true }

func denied() bool { return false }

func TestNext(t *testing.T) {
	for name, tc := range map[string]struct {
		st     State
		ou     Outcome
		budget func() bool
		want   Step
	}{
		"unsafe, not run":              {State{RanMax: 1, Refused: 1, Left: time.Second}, NotRun, granted, Again},
		"unsafe, not run, no budget":   {State{RanMax: 1, Refused: 1, Left: time.Second}, NotRun, denied, Refuse},
		"unsafe, unknown":              {State{RanMax: 1, Ran: 1, Left: time.Second}, Unknown, granted, Fail},
		"unsafe, failed":               {State{RanMax: 1, Ran: 1, Left: time.Second}, Failed, granted, Deliver},
		"safe, unknown":                {State{Repeatable: true, RanMax: 2, Ran: 1, Left: time.Second}, Unknown, granted, Again},
		"safe, unknown, no attempts":   {State{Repeatable: true, RanMax: 2, Ran: 2, Left: time.Second}, Unknown, granted, Fail},
		"safe, failed, no budget":      {State{Repeatable: true, RanMax: 2, Ran: 1, Left: time.Second}, Failed, denied, Deliver},
		"safe, ran once, then refused": {State{Repeatable: true, RanMax: 2, Ran: 1, Refused: 3, Left: time.Second}, NotRun, granted, Fail},
		"unsent needs no budget":       {State{RanMax: 1, Refused: 1, Left: time.Second}, Unsent, denied, Again},
		"no time left":                 {State{RanMax: 1, Refused: 1}, NotRun, granted, Refuse},
	} {
		if got := Next(tc.st, tc.ou, tc.budget); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

func TestNextNeverRunsAnUnsafeRequestTwiceNorRefusesOneThatRan(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("at most once, and true refusals", prop.ForAll(func(outcomes []int) bool {
		st := State{RanMax: 3, Left: time.Second}
		for _, ou := range outcomes {
			st = st.After(Outcome(ou))
			step := Next(st, Outcome(ou), granted)
			if step == Refuse && st.Ran > 0 || step == Again && st.Ran > 0 {
				return false
			}
			if step != Again {
				return true
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 3))))
	properties.TestingRun(t)
}

func TestWindowKeepsTheShareWhileManyServersFail(t *testing.T) {
	li := Limits{Share: 0.2, Slack: 40, Period: 10 * time.Second, Nodes: 4}
	wi := &Window{}
	now := time.Unix(1000, 0)
	repeats := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		wi.First(li, now)
		if wi.Take(li, now) {
			repeats++
		}
	}
	if repeats < 200 || repeats > 210 {
		t.Errorf("%d repeats for 1,000 requests, want a fifth and a quarter of the slack", repeats)
	}
	now = now.Add(11 * time.Second)
	if !wi.Take(li, now) {
		t.Error("the window does not slide")
	}
}
