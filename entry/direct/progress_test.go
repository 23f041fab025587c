package direct

import (
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/spread"
)

// A stream that callers are about to leave must count as stalled, whatever keeps its connection open. One with steady gaps must
// not, nor one whose caller does not read, or accepts any pause.
func TestOnlyAStreamWithoutProgressIsStalled(t *testing.T) {
	const pauseMax = 400 * time.Millisecond
	start := time.Now()
	// The callers of this route wait for 3.2 s.
	play := func(gap time.Duration, events int, withData bool) *progress {
		pr := &progress{}
		pr.restart()
		pr.beginWrite(true, start)
		pr.endWrite(0)
		for number := 1; number <= events; number++ {
			pr.beginWrite(withData, start.Add(time.Duration(number)*gap))
			pr.endWrite(0)
		}
		return pr
	}
	for _, te := range []struct {
		name     string
		pr       *progress
		target   time.Duration
		pauseMax time.Duration
		after    time.Duration
		want     bool
	}{
		{"no event yet", &progress{}, 0, pauseMax, time.Hour, false},
		{"nothing after the first event", play(0, 0, true), 0, pauseMax, 2500 * time.Millisecond, true},
		{"a pause that callers wait for", play(0, 0, true), 0, pauseMax, 2300 * time.Millisecond, false},
		{"a goal that lets callers wait for longer", play(0, 0, true), time.Second, pauseMax, 2900 * time.Millisecond, false},
		{"comments each second", play(time.Second, 3, false), 0, pauseMax, 3 * time.Second, true},
		{"steady gaps of 2 s", play(2*time.Second, 3, true), 0, pauseMax, 13 * time.Second, false},
		{"nothing after steady gaps of 2 s", play(2*time.Second, 3, true), 0, pauseMax, 15 * time.Second, true},
		{"any pause is accepted", play(0, 0, true), 0, 0, time.Hour, false},
	} {
		if got := te.pr.stalled(spread.Goals{FirstEvent: te.target, PauseMax: te.pauseMax}, start.Add(te.after)); got != te.want {
			t.Errorf("%s: stalled after %v: %t, want %t", te.name, te.after, got, te.want)
		}
	}
	slow := play(0, 0, true)
	slow.beginWrite(true, start)
	if slow.stalled(spread.Goals{PauseMax: pauseMax}, start.Add(time.Hour)) {
		t.Error("a stream is stalled while its caller does not read")
	}
	slow.endWrite(10 * time.Second)
	if slow.stalled(spread.Goals{PauseMax: pauseMax}, start.Add(12*time.Second)) {
		t.Error("the time that a caller took counts against the server")
	}
}
