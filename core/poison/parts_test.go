package poison

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// partsCase feeds a Parts with crashes and answers in steps of time.
type partsCase struct {
	pa  Parts
	now time.Time
	run int
}

// newPartsCase returns a case at the start of time.
func newPartsCase() *partsCase { return &partsCase{now: crashStart} }

// crash crashes another server after a while, and returns the parts that are refused from now on.
func (pc *partsCase) crash(after time.Duration, parts ...string) []string {
	pc.now = pc.now.Add(after)
	pc.run++
	return pc.pa.Crashed(Crash{Run: Run{Server: strconv.Itoa(pc.run)}, At: pc.now, Parts: parts}, pc.now)
}

// answer answers a request after a while, and returns the parts that were suspect.
func (pc *partsCase) answer(after time.Duration, parts ...string) []string {
	pc.now = pc.now.Add(after)
	return pc.pa.Answered(parts, pc.now)
}

// refused reports whether a request with a part is refused.
func (pc *partsCase) refused(part string) bool {
	_, _, refused := pc.pa.Decide("request", []string{"first", part}, pc.now)
	return refused
}

func TestPartIsRefusedAfterThreeCrashesWhileOthersAreAnswered(t *testing.T) {
	pc := newPartsCase()
	pc.answer(0, "first", "other")
	pc.crash(time.Second, "first", "bad")
	pc.answer(time.Second, "first", "other")
	pc.crash(time.Second, "first", "bad")
	if pc.refused("bad") {
		t.Error("refused after two crashes")
	}
	if list := pc.crash(time.Second, "first", "bad"); !slices.Equal(list, []string{"bad"}) {
		t.Errorf("the third crash refuses %q", list)
	}
	if !pc.refused("bad") || pc.refused("other") {
		t.Error("want only the part refused that was in flight at each crash")
	}
	// The refused part explains all further crashes that it is in.
	for range 20 {
		if list := pc.crash(time.Second, "first", "other", "bad"); len(list) > 0 {
			t.Errorf("an explained crash refuses %q", list)
		}
	}
}

func TestNoPartIsRefusedWhileNothingElseIsAnswered(t *testing.T) {
	pc := newPartsCase()
	pc.answer(0, "first", "other")
	for range 20 {
		if list := pc.crash(time.Second, "first", "bad"); len(list) > 0 {
			t.Fatalf("%q refused while no server answers", list)
		}
	}
}

func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	pc := newPartsCase()
	for range 5 {
		pc.answer(time.Millisecond, "first", "other")
		if list := pc.crash(time.Millisecond, "first", "bad"); len(list) > 0 {
			t.Fatalf("%q refused for the loss of a rack", list)
		}
	}
}

func TestCompleteAnswerClearsAPart(t *testing.T) {
	pc := newPartsCase()
	for range 20 {
		pc.crash(time.Second, "first", "shared")
		pc.crash(time.Second, "first", "shared")
		pc.answer(time.Second, "first", "other")
		if list := pc.answer(time.Second, "first", "shared"); !slices.Equal(list, []string{"shared"}) {
			t.Fatalf("the answer clears %q", list)
		}
		if pc.refused("shared") {
			t.Fatal("refused although it is answered between two crashes")
		}
	}
}

func TestPartAmongManyOtherCrashesNeedsFive(t *testing.T) {
	pc, blockedAt := newPartsCase(), 0
	for number := 1; number <= 8 && blockedAt == 0; number++ {
		pc.crash(time.Second, "first", "elsewhere-"+strconv.Itoa(number))
		pc.answer(time.Millisecond, "first", "other")
		if len(pc.crash(time.Second, "first", "bad")) > 0 {
			blockedAt = number
		}
	}
	if blockedAt != partCrashesAmongOthers {
		t.Errorf("refused at crash %d, want %d", blockedAt, partCrashesAmongOthers)
	}
}

func TestPartAnsweredBeforeGetsProbesAndIsAllowedAfterAnAnswer(t *testing.T) {
	pc := newPartsCase()
	pc.answer(0, "first", "shared")
	for number := 1; number <= answeredPartCrashes; number++ {
		pc.answer(time.Millisecond, "first", "other")
		list := pc.crash(time.Second, "first", "shared")
		if (len(list) > 0) != (number == answeredPartCrashes) {
			t.Errorf("crash %d refuses %q", number, list)
		}
	}
	if !pc.refused("shared") {
		t.Fatal("not refused")
	}
	parts := []string{"first", "shared"}
	allowed := func(request string) bool {
		_, _, refused := pc.pa.Decide(request, parts, pc.now)
		return !refused
	}
	pc.now = pc.now.Add(answeredProbeDelay)
	if !allowed("probe-1") || allowed("probe-2") || !allowed("probe-1") {
		t.Error("want exactly one request let through as a probe")
	}
	pc.pa.RequestEnded("probe-1", false, pc.now)
	if !allowed("probe-2") {
		t.Error("a probe that was not sent is not made up for")
	}
	pc.pa.RequestEnded("probe-2", true, pc.now)
	if pc.now = pc.now.Add(answeredProbeDelay); allowed("probe-3") {
		t.Error("the second probe follows too soon")
	}
	if pc.now = pc.now.Add((probeBackoff - 1) * answeredProbeDelay); !allowed("probe-3") {
		t.Error("no second probe")
	}
	if list := pc.answer(0, parts...); !slices.Contains(list, "shared") || pc.refused("shared") {
		t.Errorf("still refused after an answer, which clears %q", list)
	}
}

func TestLeavesProbesToAnotherNode(t *testing.T) {
	pc := newPartsCase()
	pc.answer(0, "first", "other")
	for range PartCrashes {
		pc.answer(time.Millisecond, "first", "other")
		pc.crash(time.Second, "first", "bad")
	}
	pc.pa.ReportedBlocked("bad", pc.now, true)
	for range 9 {
		if pc.now = pc.now.Add(time.Minute); !pc.refused("bad") {
			t.Fatalf("let through at %v", pc.now.Sub(crashStart))
		}
	}
	if pc.now = pc.now.Add(time.Minute); pc.refused("bad") {
		t.Error("still refused after the retention")
	}
}

func TestVerdictOfAnotherNodeHoldsUnlessAnsweredSince(t *testing.T) {
	pc := newPartsCase()
	pc.answer(time.Second, "first", "shared")
	if pc.pa.ReportedBlocked("shared", pc.now.Add(-time.Millisecond), false) || pc.refused("shared") {
		t.Error("an older verdict counts")
	}
	if !pc.pa.ReportedBlocked("shared", pc.now.Add(time.Millisecond), false) || !pc.refused("shared") {
		t.Error("a newer verdict does not count")
	}
	pc.pa.ReportedSound([]string{"shared"}, pc.now.Add(time.Second))
	if pc.refused("shared") {
		t.Error("refused after another node's answer")
	}
}

func TestMemoryOfPartsIsBounded(t *testing.T) {
	pc := newPartsCase()
	for number := range 5 * answeredPartsMax {
		pc.answer(time.Millisecond, "first", strconv.Itoa(number))
	}
	for number := range 2 * partCrashesMax {
		pc.crash(time.Millisecond, "first", strconv.Itoa(number))
	}
	if count := len(pc.pa.answers.newer) + len(pc.pa.answers.older); count > 2*answeredPartsMax {
		t.Errorf("%d answered parts are remembered", count)
	}
	if len(pc.pa.crashes) > partCrashesMax || len(pc.pa.answers.periods) > answerPeriodsMax {
		t.Errorf("%d crashes and %d periods are remembered", len(pc.pa.crashes), len(pc.pa.answers.periods))
	}
	if _, ok := pc.pa.answers.last("first"); !ok {
		t.Error("a part that is always answered is forgotten")
	}
}

// Whatever else happens, requests with a part that crashes every server get to servers badMax times at most
// if others are answered meanwhile, and a part that is answered after each of its crashes is never refused.
func TestEveryCrashingPartIsFoundAndNoAnsweredOneIsRefused(t *testing.T) {
	const badMax = partCrashesAmongOthers + unexplainedMin
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("found and not confused", prop.ForAll(func(codes []int) string {
		pc, bad := newPartsCase(), 0
		pc.answer(0, "first", "sound")
		for _, code := range codes {
			other := "other-" + strconv.Itoa(code/4%5)
			switch code % 4 {
			case 0:
				if pc.refused("bad") || pc.refused(other) {
					continue
				}
				pc.crash(sameCauseTime, "first", other, "bad")
				if bad++; bad > badMax {
					return fmt.Sprintf("%d requests with the bad part are allowed", bad)
				}
			case 1:
				pc.crash(sameCauseTime, "first", other)
			case 2:
				pc.crash(sameCauseTime, "first", "sound", other)
				pc.answer(time.Millisecond, "first", "sound")
			case 3:
				pc.answer(sameCauseTime, "first", other)
			}
			pc.answer(time.Millisecond, "first", "sound")
			if pc.refused("sound") {
				return fmt.Sprintf("the sound part is refused after %d", code)
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.IntRange(0, 99))))
	properties.TestingRun(t)
}
