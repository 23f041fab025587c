package poison

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var crashStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// crashEvent is one event at a random server for the fingerprint under test or another one.
type crashEvent struct {
	kind        int
	server      int
	born        int64
	fingerprint int
}

// Whatever the order of losses, ends, later runs, reports and repeated messages is, a request is
// refused exactly if it was in flight at SuspectCrashes different crashes with no answer between.
func TestRequestIsBlockedExactlyAfterThreeCrashesWithoutAnAnswer(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("blocked like the model", prop.ForAll(func(codes []int) string {
		su, model, now := &Suspects{}, newCrashModel(), crashStart
		for _, code := range codes {
			now = now.Add(100 * time.Millisecond)
			ev := crashEvent{kind: code % 5, server: code / 5 % 3, born: int64(code/15%3) + 1, fingerprint: code / 45 % 2}
			applyEvent(su, ev, now)
			model.apply(ev)
			for ix := range 2 {
				verdict, _ := su.Decide(strconv.Itoa(ix), now)
				if want := model.blocked[ix]; (verdict == Blocked) != want {
					return fmt.Sprintf("after %+v the verdict on %d is %s, want blocked: %v", ev, ix, verdict, want)
				}
			}
		}
		return ""
	}, gen.SliceOfN(50, gen.IntRange(0, 89))))
	properties.TestingRun(t)
}

// applyEvent applies an event to the table under test.
func applyEvent(su *Suspects, ev crashEvent, now time.Time) {
	run, fingerprint := Run{Server: strconv.Itoa(ev.server), Born: ev.born}, strconv.Itoa(ev.fingerprint)
	switch ev.kind {
	case 0:
		su.Lost(Loss{Fingerprint: fingerprint, At: now}, run, run.Server)
	case 1:
		su.RunEnded(run, now)
	case 2:
		su.RunStarted(run, run.Server, now)
	case 3:
		su.Reported(Crash{Run: run, At: now, Fingerprints: []string{fingerprint}}, now)
	case 4:
		su.Answered(fingerprint)
	}
}

// crashModel says which fingerprints must be blocked, without regard to time.
type crashModel struct {
	lost    map[Run]map[int]bool
	ended   map[Run]bool
	crashes [2]map[Run]bool
	blocked [2]bool
}

// newCrashModel returns a model without crashes.
func newCrashModel() *crashModel {
	return &crashModel{lost: map[Run]map[int]bool{}, ended: map[Run]bool{}, crashes: [2]map[Run]bool{{}, {}}}
}

// apply applies an event.
func (cm *crashModel) apply(ev crashEvent) {
	run := Run{Server: strconv.Itoa(ev.server), Born: ev.born}
	switch ev.kind {
	case 0:
		if cm.lost[run] == nil {
			cm.lost[run] = map[int]bool{}
		}
		cm.lost[run][ev.fingerprint] = true
		if cm.ended[run] {
			cm.end(run)
		}
	case 1:
		cm.end(run)
	case 2:
		for other := range cm.lost {
			if other.Server == run.Server && other.Born < run.Born {
				cm.end(other)
			}
		}
	case 3:
		cm.crash(run, ev.fingerprint)
	case 4:
		if !cm.blocked[ev.fingerprint] {
			cm.crashes[ev.fingerprint] = map[Run]bool{}
		}
	}
}

// end ends a run with the requests that were lost there.
func (cm *crashModel) end(run Run) {
	cm.ended[run] = true
	for fingerprint := range cm.lost[run] {
		cm.crash(run, fingerprint)
	}
	delete(cm.lost, run)
}

// crash counts a crash.
func (cm *crashModel) crash(run Run, fingerprint int) {
	cm.crashes[fingerprint][run] = true
	cm.blocked[fingerprint] = cm.blocked[fingerprint] || len(cm.crashes[fingerprint]) >= SuspectCrashes
}

func TestLossCountsOnlyIfTheRunEndsSoonAfterIt(t *testing.T) {
	su, run := &Suspects{}, Run{Server: "s", Born: 1}
	su.Lost(Loss{Fingerprint: "f", At: crashStart}, run, "a")
	if _, ok := su.RunEnded(run, crashStart.Add(confirmTime+pruneInterval)); ok || su.Len() != 0 {
		t.Error("a run that ended long after the loss counts as a crash")
	}
}

func TestLaterServerAtTheAddressShowsThatTheRunHasEnded(t *testing.T) {
	su := &Suspects{}
	su.Lost(Loss{Fingerprint: "f", At: crashStart}, Run{Server: "s", Born: 1}, "10.0.0.1:80")
	if list := su.RunStarted(Run{Server: "other", Born: 2}, "10.0.0.2:80", crashStart); len(list) != 0 {
		t.Errorf("a server elsewhere shows the crash %+v", list)
	}
	if list := su.RunStarted(Run{Server: "other", Born: 2}, "10.0.0.1:80", crashStart); len(list) != 1 || list[0].Fingerprints[0] != "f" {
		t.Errorf("a later server at the address shows %+v, want the crash", list)
	}
}

func TestVerdictEndsAfterRetention(t *testing.T) {
	su := &Suspects{}
	for born := range int64(SuspectCrashes) {
		su.Reported(Crash{Run: Run{Server: "s", Born: born}, At: crashStart, Fingerprints: []string{"f"}}, crashStart)
	}
	if verdict, remaining := su.Decide("f", crashStart.Add(time.Minute)); verdict != Blocked || remaining != Retention-time.Minute {
		t.Errorf("verdict %s for %v, want blocked for %v", verdict, remaining, Retention-time.Minute)
	}
	if verdict, _ := su.Decide("f", crashStart.Add(Retention)); verdict != Free {
		t.Errorf("verdict %s after the retention, want free", verdict)
	}
}

func TestTableIsBoundedAndKeepsTheBlocked(t *testing.T) {
	su := &Suspects{}
	for born := range int64(SuspectCrashes) {
		su.Reported(Crash{Run: Run{Server: "s", Born: born}, At: crashStart, Fingerprints: []string{"blocked"}}, crashStart)
	}
	for ix := range suspectsMax + 100 {
		su.Reported(Crash{Run: Run{Server: "s"}, At: crashStart, Fingerprints: []string{strconv.Itoa(ix)}}, crashStart)
	}
	if verdict, _ := su.Decide("blocked", crashStart); verdict != Blocked || su.Len() > suspectsMax {
		t.Errorf("verdict %s with %d fingerprints, want blocked and at most %d", verdict, su.Len(), suspectsMax)
	}
}
