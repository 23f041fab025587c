package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/core/grant"
)

// softwareFleet returns servers of one service, each with one of the versions and possibly a pause or a failure.
func softwareFleet(versions []int, now time.Time) *Fleet {
	fl := &Fleet{}
	for ix, version := range versions {
		id := fmt.Sprintf("s-%d", ix)
		fl.Put(Server{ID: id, Service: "advice", Zone: "z", Places: 4, Born: 1, Software: fmt.Sprintf("v%d", version%3), Leaving: version%7 == 6})
		if version%5 == 4 {
			fl.PauseAsked(id, now.Add(time.Second))
		}
		if version%11 == 10 {
			fl.Abandoned(id, now)
		}
	}
	return fl
}

// A stream that goes on must never come to another software version, in any round of the choice.
func TestChooseTakesOnlyServersOfTheRequiredSoftware(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("only the required version is chosen, and whenever one of it takes requests", prop.ForAll(func(versions []int, wanted int, excluded []int) bool {
		fl := softwareFleet(versions, now)
		rq := Request{Service: "advice", Zone: "z", SoftwareRequired: true, Software: fmt.Sprintf("v%d", wanted)}
		for _, ix := range excluded {
			rq.Exclude = append(rq.Exclude, fmt.Sprintf("s-%d", ix))
		}
		takes := false
		for id, me := range fl.members {
			takes = takes || me.takesNow(now) && fl.Software(id) == rq.Software
		}
		ch, ok := fl.Choose(rq, now)
		return ok == takes && (!ok || fl.Software(ch.ID) == rq.Software)
	}, gen.SliceOf(gen.IntRange(0, 1000)), gen.IntRange(0, 2), gen.SliceOfN(3, gen.IntRange(0, 10))))
	properties.TestingRun(t)
}

func TestSoftwareIsUnknownWhileTheRecordIsOlderThanTheRun(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	fl := &Fleet{}
	fl.Put(Server{ID: "s", Service: "advice", Born: 5, Software: "v1", Engine: true})
	if got := fl.SoftwareOfRun("s", 5, "v1"); got != "v1" {
		t.Errorf("software %q of the run of the record", got)
	}
	fl.AgentReported("s", Load{Load: grant.Load{Born: 6}, ReportedAt: now}, nil)
	if fl.Software("s") != "" || fl.SoftwareOfRun("s", 5, "v1") != "" || fl.HasSoftware("advice", "v1") {
		t.Error("a run that only the agent has reported has the software of the run before it")
	}
	fl.Put(Server{ID: "s", Service: "advice", Born: 6, Software: "v2", Engine: true})
	if fl.Software("s") != "v2" || fl.SoftwareOfRun("s", 5, "v1") != "" || fl.SoftwareOfRun("s", 6, "") != "v2" {
		t.Error("the record of the later run is not used")
	}
	fl.Remove("s")
	if got := fl.SoftwareOfRun("s", 6, "v2"); got != "v2" {
		t.Errorf("software %q of a server that is gone since, want what was believed", got)
	}
}

func TestSoftwareIsUnknownOnceTheServerNamesAnotherRun(t *testing.T) {
	fl := &Fleet{}
	fl.Put(Server{ID: "s", Service: "advice", Born: 5, Software: "v1", Engine: true})
	fl.Put(Server{ID: "t", Service: "other", Born: 5, Software: "v1"})
	fl.RunAnswered("s", 5)
	if fl.Software("s") != "v1" || fl.StartedAgain([]string{"advice"}) {
		t.Error("the run of the record, which the server has named, is not known")
	}
	fl.RunAnswered("s", 6)
	if fl.Software("s") != "" || fl.SoftwareOfRun("s", 5, "v1") != "" || fl.HasSoftware("advice", "v1") || fl.RunStart("s") != 6 {
		t.Error("a run that only the server has named has the software of the run before it")
	}
	if service, again := fl.RestartedService("s"); !again || service != "advice" || !fl.StartedAgain([]string{"other", "advice"}) {
		t.Error("the server does not count as started again")
	}
	if _, again := fl.RestartedService("t"); again || fl.StartedAgain([]string{"other"}) {
		t.Error("a server counts as started again because another one has")
	}
	fl.Put(Server{ID: "s", Service: "advice", Born: 6, Software: "v2", Engine: true})
	if fl.Software("s") != "v2" || fl.StartedAgain([]string{"advice"}) {
		t.Error("the record of the later run is not used")
	}
}
