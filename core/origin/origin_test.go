package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// start is a time to count from.
var start = time.Unix(1_700_000_000, 0)

func TestDecideLetsAStreamGoOnOnlyWhereItsVersionIsCertain(t *testing.T) {
	for name, tc := range map[string]struct {
		or       Origin
		known    bool
		versions []string
		complete bool
		software string
		verdict  Verdict
	}{
		"record":                                 {Origin{Software: "v1"}, true, []string{"v1", "v2"}, true, "v1", GoesOn},
		"record of a version that is gone":       {Origin{Software: "v1"}, true, []string{"v2"}, false, "v1", GoesOn},
		"no record, one version":                 {Origin{}, false, []string{"v2"}, true, "v2", GoesOn},
		"no record, others may have served":      {Origin{}, false, []string{"v2"}, false, "", Undecided},
		"no record, two versions":                {Origin{}, false, []string{"v1", "v2"}, true, "", Undecided},
		"no record, no server known":             {Origin{}, false, nil, true, "", Undecided},
		"no server states a version":             {Origin{}, false, []string{""}, false, "", GoesOn},
		"record, no server states a version":     {Origin{}, true, []string{""}, false, "", GoesOn},
		"record, no server known":                {Origin{}, true, nil, false, "", GoesOn},
		"some servers state no version":          {Origin{}, false, []string{"", "v1"}, true, "", Undecided},
		"begun by a run of an unknown version":   {Origin{}, true, []string{"v1"}, true, "", Undecided},
		"begun by a server without a version":    {Origin{}, true, []string{"", "v1"}, true, "", Undecided},
		"record, others state no version at all": {Origin{Software: "v1"}, true, []string{""}, false, "v1", GoesOn},
	} {
		if software, verdict := Decide(tc.or, tc.known, Candidates{Versions: tc.versions, Complete: tc.complete}); software != tc.software || verdict != tc.verdict {
			t.Errorf("%s: %q, %v, want %q, %v", name, software, verdict, tc.software, tc.verdict)
		}
	}
}

// Two nodes that know different agents must still share a home of each stream.
func TestNodesThatMissOneAgentEachShareAHome(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("a record reaches a queried home", prop.ForAll(func(key uint64, count, missA, missB int) bool {
		all := make([]string, count)
		for ix := range all {
			all[ix] = fmt.Sprintf("10.1.0.%d", ix)
		}
		without := func(ix int) []string { return slices.Delete(slices.Clone(all), ix%count, ix%count+1) }
		kept := Homes(StreamKey(key), without(missA), RecordHomes)
		asked := Homes(StreamKey(key), without(missB), QueryHomes)
		return slices.ContainsFunc(kept, func(host string) bool { return slices.Contains(asked, host) })
	}, gen.UInt64(), gen.IntRange(3, 60), gen.IntRange(0, 59), gen.IntRange(0, 59)))
	properties.TestingRun(t)
}

func TestHomesAreEvenAndDoNotDependOnTheOrderOfHosts(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e", "f"}
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	counts := map[string]int{}
	for key := range 6000 {
		homes := Homes(StreamKey(key), hosts, RecordHomes)
		if !slices.Equal(homes, Homes(StreamKey(key), reversed, RecordHomes)) {
			t.Fatal("the order of the hosts changes the homes")
		}
		for _, host := range homes {
			counts[host]++
		}
	}
	for host, count := range counts {
		if count < 2700 || count > 3300 {
			t.Errorf("%s is a home of %d of 6000 streams, want about 3000", host, count)
		}
	}
}

func TestTableKeepsRecordsForTheirTimeAndIsBounded(t *testing.T) {
	ta := Table{}
	ta.Put(1, Origin{Service: "advice", Software: "v1"}, start.Add(10*time.Second), start)
	ta.Put(2, Origin{Service: "advice", Software: "v1"}, start.Add(time.Hour), start)
	ta.Put(2, Origin{Service: "advice", Software: "v2"}, start.Add(time.Hour), start)
	if or, ok := ta.Get(1, start.Add(9*time.Second)); !ok || or.Software != "v1" {
		t.Errorf("record is %+v, %t before its end", or, ok)
	}
	if _, ok := ta.Get(1, start.Add(10*time.Second)); ok {
		t.Error("a record is kept after its end")
	}
	if or, _ := ta.Get(2, start.Add(time.Minute)); or.Software != "v2" {
		t.Errorf("record is %+v after it was replaced", or)
	}
	if _, ok := ta.Get(2, start.Add(RetentionMax)); ok {
		t.Error("a record is kept longer than RetentionMax")
	}
	for key := range 5 * generationMax {
		ta.Put(StreamKey(key+10), Origin{}, start.Add(time.Minute), start)
	}
	if ta.Len() > 2*generationMax {
		t.Errorf("%d records, want at most %d", ta.Len(), 2*generationMax)
	}
	if _, ok := ta.Get(StreamKey(5*generationMax+9), start); !ok {
		t.Error("the newest record is gone")
	}
}

func TestTableListsTheStreamsOfAService(t *testing.T) {
	ta := Table{}
	ta.Put(1, Origin{Service: "advice", Software: "v1"}, start.Add(10*time.Second), start)
	ta.Put(2, Origin{Service: "other"}, start.Add(10*time.Second), start)
	ta.Put(3, Origin{Service: "advice"}, start.Add(time.Second), start)
	count := 0
	ta.Each("advice", start.Add(2*time.Second), func(key StreamKey, or Origin, left time.Duration) {
		count++
		if key != 1 || or.Software != "v1" || left != 8*time.Second {
			t.Errorf("stream %d, %+v, left %v", key, or, left)
		}
	})
	if count != 1 {
		t.Errorf("%d streams, want 1", count)
	}
}

// A version that is gone counts for as long as a caller may take up a stream that it began.
func TestHistoryRemembersVersionsThatAreGone(t *testing.T) {
	hi := History{}
	if !hi.Listed("advice", "v1", start) || len(hi.Versions("advice", start)) > 1 {
		t.Error("one version counts as mixed, or is not reported")
	}
	if !hi.Listed("advice", "v2", start.Add(time.Second)) || hi.Listed("advice", "v2", start.Add(time.Second)) {
		t.Error("a second version is not reported once")
	}
	hi.Listed("advice", "v2", start.Add(time.Minute))
	if got := hi.Versions("advice", start.Add(time.Minute)); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("versions %q", got)
	}
	later := start.Add(RetentionMax)
	if len(hi.Versions("advice", later)) > 1 {
		t.Error("a version counts for longer than RetentionMax")
	}
	hi.Listed("advice", "v2", later)
	if !hi.Listed("advice", "v3", later) {
		t.Error("a new second version is not reported after the first one was forgotten")
	}
	again := later.Add(2 * RetentionMax)
	hi.Listed("advice", "v2", again)
	if !hi.Listed("advice", "v3", again) {
		t.Error("a version that comes back after it was forgotten is not reported")
	}
	later = again
	for ix := range 3 * versionsMax {
		hi.Listed("advice", fmt.Sprintf("w%d", ix), later)
	}
	if got := len(hi.Versions("advice", later)); got > versionsMax {
		t.Errorf("%d versions are remembered, want at most %d", got, versionsMax)
	}
	if hi.States("other", start) || !hi.States("advice", later) {
		t.Error("States does not tell services whose servers state versions")
	}
}

func TestRetentionCoversTheCallersDeadlineAndIsBounded(t *testing.T) {
	for _, tc := range [...]struct{ waits, want time.Duration }{
		{-time.Second, returnTime}, {15 * time.Second, 15*time.Second + returnTime}, {time.Hour, RetentionMax},
	} {
		if got := Retention(tc.waits); got != tc.want {
			t.Errorf("Retention(%v) = %v, want %v", tc.waits, got, tc.want)
		}
	}
}

// What a node is told of versions, by others that saw them earlier, counts until the time at which it was true is
// over, and makes nothing younger older.
func TestHistoryTakesInWhatOthersHaveSeen(t *testing.T) {
	hi := History{}
	now := start.Add(time.Hour)
	if hi.Seen("advice", "v0", now.Add(-RetentionMax), now) || len(hi.Versions("advice", now)) > 0 {
		t.Error("a version counts that no stream can have begun with")
	}
	hi.Listed("advice", "v2", now)
	if !hi.Seen("advice", "v1", now.Add(-time.Minute), now) || hi.Seen("advice", "v2", now.Add(-time.Minute), now) {
		t.Error("a version that is new is not reported, or a known one is")
	}
	later := now.Add(time.Minute)
	if ages := hi.LastSeen("advice", later); len(ages) != 1 || ages["v2"] != time.Minute {
		t.Errorf("versions were last seen %v ago", ages)
	}
	if hi.KnownFor("advice", now) != 0 {
		t.Error("versions count as known without anything that says so")
	}
	hi.Known("advice", now.Add(-10*time.Second))
	hi.Known("advice", now)
	if got := hi.KnownFor("advice", now.Add(5*time.Second)); got != 15*time.Second {
		t.Errorf("all versions are known for %v, want 15 s", got)
	}
}

// A node computes the homes of all its streams whenever an agent is gone: they must be the best of a full sort.
func TestHomesAreTheBestOfAFullSort(t *testing.T) {
	hosts := make([]string, 200)
	for ix := range hosts {
		hosts[ix] = fmt.Sprintf("10.0.%d.%d", ix/10, ix%10)
	}
	for key := range StreamKey(500) {
		all := Homes(key, hosts, len(hosts))
		for count := range 6 {
			if got := Homes(key, hosts, count); !slices.Equal(got, all[:count]) {
				t.Fatalf("stream %d: homes %v, want %v", key, got, all[:count])
			}
		}
	}
}

func BenchmarkHomes(be *testing.B) {
	hosts := make([]string, 126)
	for ix := range hosts {
		hosts[ix] = fmt.Sprintf("10.6.64.%d", ix)
	}
	for be.Loop() {
		Homes(7, hosts, QueryHomes)
	}
}
