package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// stops are the lengths of stops that operators set, in seconds.
var stops = gen.OneConstOf(1, 2, 4, 8, 30, 600)

// The stages of a stop follow one another within its length, whatever that is.
func TestStagesOfAStopFollowOneAnother(t *testing.T) {
	pr := gopter.NewProperties(nil)
	pr.Property("stages", prop.ForAll(func(seconds int) bool {
		now, length := time.Unix(1000, 0), time.Duration(seconds)*time.Second
		st := NewStop(now, length)
		return st.Begun() && st.NoticedAt.After(now) && !st.NoticedAt.After(st.AnswersEndAt) && st.UnknownEndAt.Before(st.AnswersEndAt) &&
			st.AnswersEndAt.Before(st.ClosedAt) && st.ClosedAt.Before(now.Add(length)) && st.AnswersEndAt.Sub(now) > length*5/6
	}, stops))
	pr.TestingRun(t)
}

// An answer that takes as long as any that is known ends before the stop cuts it, if its request begins no later than allowed.
func TestNoRequestBeginsThatTheLongestKnownAnswerWouldOutlast(t *testing.T) {
	pr := gopter.NewProperties(nil)
	pr.Property("late requests", prop.ForAll(func(seconds, whole int, took []int) bool {
		now := time.Unix(1000, 0)
		st, ti, longest := NewStop(now, time.Duration(seconds)*time.Second), Times{}, time.Duration(0)
		for _, millis := range took {
			answer := time.Duration(millis) * time.Millisecond
			ti.Record(Request{Route: "route", Size: 90}, answer)
			longest = max(longest, answer)
		}
		wholeAt, deadline := st.NoticedAt.Add(time.Duration(whole)*time.Millisecond), now.Add(time.Hour)
		latest := st.LatestStart(ti.Estimate(Request{Route: "route", Size: 90}), wholeAt, deadline)
		if len(took) < sureCountMin {
			return !latest.After(now)
		}
		return !latest.Add(longest).After(st.AnswersEndAt)
	}, stops, gen.IntRange(0, 5000), gen.SliceOf(gen.IntRange(1, 20_000))))
	pr.TestingRun(t)
}

// What a node that is not stopping, a request's own deadline and a broken answer allow is not bounded by estimates.
func TestLatestStartOfRequestsThatAStopDoesNotCut(t *testing.T) {
	now := time.Unix(1000, 0)
	st, slow := NewStop(now, 8*time.Second), Estimate{Count: sureCountMin, Likely: time.Minute, Sure: time.Hour}
	soon, far := now.Add(5*time.Second), now.Add(time.Hour)
	for name, tc := range map[string]struct{ got, want time.Time }{
		"body, sure to fit":           {st.LatestWhole(Estimate{Count: sureCountMin, Likely: time.Second, Sure: 3 * time.Second}, far), st.AnswersEndAt.Add(-3 * time.Second)},
		"body, likely to fit":         {st.LatestWhole(Estimate{Count: sureCountMin, Likely: 3 * time.Second, Sure: 6 * time.Second}, far), st.NoticedAt},
		"body, unlikely to fit":       {st.LatestWhole(Estimate{Count: sureCountMin, Likely: 6 * time.Second, Sure: 9 * time.Second}, far), st.AnswersEndAt.Add(-6 * time.Second)},
		"body, nothing known":         {st.LatestWhole(Estimate{}, far), st.NoticedAt},
		"not stopping":                {Stop{}.LatestStart(slow, now, far), far},
		"deadline before the end":     {st.LatestStart(slow, now, soon), soon},
		"nothing known, early":        {st.LatestStart(Estimate{}, now, far), st.UnknownEndAt},
		"too little known, late":      {st.LatestStart(Estimate{Count: sureCountMin - 1}, st.NoticedAt, far), now},
		"stream, late":                {st.LatestStart(Estimate{Count: sureCountMin, Likely: time.Second, Sure: 3 * time.Second, Streams: true}, st.NoticedAt, far), now},
		"stream, early":               {st.LatestStart(Estimate{Count: sureCountMin, Likely: time.Second, Sure: 3 * time.Second, Streams: true}, now, far), st.AnswersEndAt.Add(-time.Second)},
		"stream, late, deadline":      {st.LatestStart(Estimate{Streams: true}, st.NoticedAt, soon), soon},
		"nothing known, late":         {st.LatestStart(Estimate{}, st.NoticedAt, far), now},
		"broken answer":               {st.LatestResume(far), st.AnswersEndAt},
		"broken answer, deadline":     {st.LatestResume(soon), soon},
		"broken answer, no stop":      {Stop{}.LatestResume(far), far},
		"answers known, early":        {st.LatestStart(Estimate{Count: sureCountMin, Likely: time.Second, Sure: 3 * time.Second}, now, far), st.AnswersEndAt.Add(-time.Second)},
		"answers known, late request": {st.LatestStart(Estimate{Count: sureCountMin, Likely: time.Second, Sure: 3 * time.Second}, st.NoticedAt, far), st.AnswersEndAt.Add(-3 * time.Second)},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: %v after the signal, want %v", name, tc.got.Sub(now), tc.want.Sub(now))
		}
	}
}

// Answers of about the same size tell how long one takes; where none is known, larger ones do, and smaller ones do not.
func TestEstimateByAnswersOfTheSameSize(t *testing.T) {
	ti := Times{}
	for number := range 100 {
		ti.Record(Request{Route: "route", Size: 20}, time.Duration(number+1)*10*time.Millisecond)
	}
	for range sureCountMin - 1 {
		ti.Record(Request{Route: "route", Size: 300}, 8*time.Second)
	}
	ti.Record(Request{Route: "route", Size: 3000}, 20*time.Second)
	for name, tc := range map[string]struct {
		size int
		want Estimate
	}{
		"same size":   {31, Estimate{Count: 100, Likely: 950 * time.Millisecond, Sure: 1500 * time.Millisecond}},
		"too few":     {500, Estimate{Count: sureCountMin, Likely: 20 * time.Second, Sure: 30 * time.Second}},
		"next larger": {2100, Estimate{Count: 1, Likely: 20 * time.Second, Sure: 30 * time.Second}},
		"smaller":     {1, Estimate{Count: 100, Likely: 950 * time.Millisecond, Sure: 1500 * time.Millisecond}},
		"unknown":     {0, Estimate{Count: 100 + sureCountMin, Likely: 8 * time.Second, Sure: 30 * time.Second}},
		"too large":   {6000, Estimate{}},
	} {
		if got := ti.Estimate(Request{Route: "route", Size: tc.size}); got != tc.want {
			t.Errorf("%s: %+v, want %+v", name, got, tc.want)
		}
	}
	for _, rq := range []Request{{Route: "other", Size: 20}, {Route: "route", Service: "other", Size: 20}} {
		if got := ti.Estimate(rq); got != (Estimate{}) {
			t.Errorf("%+v has the estimate %+v", rq, got)
		}
	}
}

// Only the last times count, and the memory does not grow with answers or routes.
func TestOldTimesAreForgotten(t *testing.T) {
	ti := Times{}
	ti.Record(Request{}, time.Hour)
	for range timesKept {
		ti.Record(Request{}, time.Second)
	}
	if got := ti.Estimate(Request{}); got.Count != timesKept || got.Likely != time.Second || got.Sure >= 2*time.Second {
		t.Errorf("the estimate is %+v", got)
	}
	for number := range 2 * groupsMax {
		ti.Record(Request{Route: fmt.Sprint(number)}, time.Second)
	}
	if len(ti.groups) > groupsMax {
		t.Errorf("%d groups are kept, want at most %d", len(ti.groups), groupsMax)
	}
}
