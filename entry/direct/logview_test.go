package direct

import (
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

// The time for which older versions may be used belongs to each version by its own announcement. A further version
// must not let those in again whose time is over.
func TestFurtherVersionLetsNoOlderOneInAgain(t *testing.T) {
	const settle = 2500 * time.Millisecond
	ke := grant.Key{Model: "m", Adapter: "a"}
	start := time.Unix(1000, 0)
	lv := newLogView()
	announce := func(version int, at time.Duration, initial bool) {
		lv.addVersion(&AdapterVersion{Model: ke.Model, Adapter: ke.Adapter, Version: version}, initial, start.Add(at))
	}
	announce(1, 0, true)
	for version := 2; version <= 4; version++ {
		announce(version, time.Duration(version-2)*2200*time.Millisecond, false)
	}
	announce(3, 9*time.Second, false)
	for _, tc := range []struct {
		at             time.Duration
		newest, oldest int
	}{
		{2499 * time.Millisecond, 4, 1}, {2500 * time.Millisecond, 4, 2}, {4699 * time.Millisecond, 4, 2}, {4700 * time.Millisecond, 4, 3}, {6900 * time.Millisecond, 4, 4},
	} {
		if newest, oldest := lv.version(ke, settle, start.Add(tc.at)); newest != tc.newest || oldest != tc.oldest {
			t.Errorf("after %v: newest %d, oldest %d, want %d and %d", tc.at, newest, oldest, tc.newest, tc.oldest)
		}
	}
	for version := 5; version < 5+2*announcedMax; version++ {
		announce(version, 20*time.Second, false)
	}
	if newest, oldest := lv.version(ke, settle, start.Add(21*time.Second)); len(lv.versions[ke]) != announcedMax || newest != 4+2*announcedMax || oldest < 4 {
		t.Errorf("newest %d, oldest %d, of %d versions", newest, oldest, len(lv.versions[ke]))
	}
}
