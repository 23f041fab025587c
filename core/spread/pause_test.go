package spread

import (
	"fmt"
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

// Whatever becomes of the record of a server meanwhile, the pause that its run has asked for holds exactly until
// its end, unless the record shows another run.
func TestPauseDependsOnTheRunAloneNotOnItsRecord(t *testing.T) {
	server := func(born int64) Server {
		return Server{ID: "e1", Service: "advice", Zone: "z1", Region: "r1", Engine: true, Model: "m", Born: born}
	}
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("paused until the end", prop.ForAll(func(steps []int) bool {
		fl := &Fleet{}
		fl.Put(server(7))
		fl.PauseAsked("e1", start.Add(time.Minute))
		for _, step := range steps {
			switch step {
			case 0:
				fl.Remove("e1")
			case 1:
				fl.Put(server(0))
			case 2:
				fl.Put(server(7))
			}
		}
		fl.Put(server(7))
		return !fl.Accepts("e1", start) && fl.Accepts("e1", start.Add(time.Minute))
	}, gen.SliceOf(gen.IntRange(0, 2))))
	properties.TestingRun(t)
	fl := &Fleet{}
	fl.Put(server(7))
	fl.PauseAsked("e1", start.Add(time.Minute))
	fl.Remove("e1")
	fl.Put(server(8))
	if !fl.Accepts("e1", start) {
		t.Error("a new run that comes after the removal of the one before is kept to its pause")
	}
}

func TestPausesOfRemovedServersAreBounded(t *testing.T) {
	fl := &Fleet{}
	for ix := range 2 * removedMax {
		id := fmt.Sprintf("e%d", ix)
		fl.Put(Server{ID: id, Service: "advice", Born: 1})
		fl.PauseAsked(id, start.Add(time.Duration(ix)*time.Second))
		fl.Remove(id)
	}
	if len(fl.removed) > removedMax {
		t.Errorf("%d pauses are kept, want at most %d", len(fl.removed), removedMax)
	}
	if _, kept := fl.removed[fmt.Sprintf("e%d", 2*removedMax-1)]; !kept {
		t.Error("the pause that ends last is forgotten")
	}
}
