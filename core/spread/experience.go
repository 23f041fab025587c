package spread

import "time"

const (
	// faultWeight is the weight of one more outcome in the share of failures.
	faultWeight = 0.1
	// paceWeight is the weight of one more measurement in a server's pace.
	paceWeight = 0.15
	paceMin    = 0.5
	paceMax    = 6.0
	// paceFloor is added to both times, so that short waits say little.
	paceFloor = 150 * time.Millisecond

	// muteAfter is the number of failures in a row after which a server rests.
	muteAfter = 3
	muteFirst = 500 * time.Millisecond
	muteMax   = 4 * time.Second
	// silenceMax is the longest time without a sign of life from an engine at work: its
	// streams bring events several times as often.
	silenceMax = 700 * time.Millisecond
	// quietRest is how long a silent server rests before it is tried again.
	quietRest = 2 * time.Second
	// unreachableMute is how long a server rests that refuses connections.
	unreachableMute = time.Second
)

// Succeeded records a whole answer.
func (fl *Fleet) Succeeded(id string) {
	if me := fl.members[id]; me != nil {
		me.failures = 0
		me.faults -= faultWeight * me.faults
	}
}

// Failed records an answer that was a failure, or none; a server that fails again and again rests.
func (fl *Fleet) Failed(id string, now time.Time) {
	me := fl.members[id]
	if me == nil {
		return
	}
	me.failures++
	me.faults += faultWeight * (1 - me.faults)
	if me.failures >= muteAfter {
		me.mutedTill = now.Add(min(muteMax, muteFirst<<min(me.failures-muteAfter, 4)))
	}
}

// Unreachable records that a server did not take a connection.
func (fl *Fleet) Unreachable(id string, now time.Time) {
	fl.Failed(id, now)
	if me := fl.members[id]; me != nil {
		me.mutedTill = now.Add(unreachableMute)
	}
}

// Measured records the time from the sending to a first byte beside the expected one.
func (fl *Fleet) Measured(id string, took, expected time.Duration) {
	me := fl.members[id]
	if me == nil || expected <= 0 {
		return
	}
	// What was expected has the present pace in it.
	ratio := me.pace * (took + paceFloor).Seconds() / (expected + paceFloor).Seconds()
	me.pace += paceWeight * (min(paceMax, max(paceMin, ratio)) - me.pace)
}
