package spread

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Whatever pauses a server asks for, in any order, it is chosen exactly when all of them have ended, and
// the time at which it takes requests again is the latest end.
func TestLongestPauseOfAServerCounts(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("until the latest end", prop.ForAll(func(ends []int, at int) bool {
		fl, latest := fleetOf("e1"), 0
		for _, end := range ends {
			fl.PauseAsked("e1", start.Add(time.Duration(end)*time.Millisecond))
			latest = max(latest, end)
		}
		now := start.Add(time.Duration(at) * time.Millisecond)
		_, chosen := fl.Choose(requestFor("x"), now)
		until, heldBack := fl.TakesAgainAt(Request{Service: "advice"}, now)
		if paused := at < latest; chosen == paused || fl.Accepts("e1", now) == paused || heldBack != paused {
			return false
		}
		return !heldBack || until.Equal(start.Add(time.Duration(latest)*time.Millisecond))
	}, gen.SliceOf(gen.IntRange(0, 1000)), gen.IntRange(0, 1200)))
	properties.TestingRun(t)
}

func TestNewRunOfAServerIsNotPaused(t *testing.T) {
	fl := fleetOf("e1")
	fl.PauseAsked("e1", start.Add(time.Minute))
	fl.Put(Server{ID: "e1", Service: "advice", Zone: "z1", Region: "r1", Engine: true, Model: "m", Born: 2})
	if !fl.Accepts("e1", start) {
		t.Error("a new run of the server is kept to the pause of the one before")
	}
}
