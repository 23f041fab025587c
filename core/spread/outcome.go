package spread

import "time"

const (
	// failureWeight is the weight of a new outcome in the moving average of failures.
	failureWeight = 0.1
	// latencyRatioWeight is the weight of a new measurement in the moving average of the ratio;
	// latencyRatioMin and latencyRatioMax limit a single measurement.
	latencyRatioWeight = 0.15
	latencyRatioMin    = 0.5
	latencyRatioMax    = 6.0
	// latencyPadding is added to both times, so that short waits hardly change the ratio.
	latencyPadding = 150 * time.Millisecond

	// backoffAfterFailures is the number of consecutive failures after which a server is
	// avoided: for failureBackoffMin at first, and twice as long with each further failure up to
	// failureBackoffMax.
	backoffAfterFailures = 3
	failureBackoffMin    = 500 * time.Millisecond
	failureBackoffMax    = 4 * time.Second
	// quietMax is how long an engine with requests in flight may send nothing until it is asked for a sign of life. The answer
	// must come before silenceMax.
	quietMax = 250 * time.Millisecond
	// silenceMax is the longest time without any sign of life from an engine with requests in
	// flight. Its streams normally bring several events in that time, and else the engine is asked.
	silenceMax = 700 * time.Millisecond
	// silenceBackoff is how long a silent server is avoided before it is tried again.
	silenceBackoff = 2 * time.Second
	// unreachableBackoff is how long a server is avoided that does not accept connections.
	unreachableBackoff = time.Second
)

// Succeeded records that a server answered a request completely.
func (fl *Fleet) Succeeded(id string) {
	if me := fl.members[id]; me != nil {
		me.consecutiveFailures = 0
		me.failureShare -= failureWeight * me.failureShare
	}
}

// Failed records a failed or missing answer. A server with several consecutive failures is
// avoided for a while.
func (fl *Fleet) Failed(id string, now time.Time) {
	me := fl.members[id]
	if me == nil {
		return
	}
	me.consecutiveFailures++
	me.failureShare += failureWeight * (1 - me.failureShare)
	if me.consecutiveFailures >= backoffAfterFailures {
		me.failureBackoffUntil = now.Add(min(failureBackoffMax, failureBackoffMin<<min(me.consecutiveFailures-backoffAfterFailures, 4)))
	}
}

// Unreachable records that a server did not accept a connection.
func (fl *Fleet) Unreachable(id string, now time.Time) {
	fl.Failed(id, now)
	if me := fl.members[id]; me != nil {
		me.failureBackoffUntil = now.Add(unreachableBackoff)
	}
}

// MeasuredFirstByte records the time from sending a request to the chosen server to its first byte. A request that
// was sent before the reported speed of the server changed says nothing on what remains beside it.
func (fl *Fleet) MeasuredFirstByte(ch *Choice, took time.Duration) {
	if me := fl.members[ch.ID]; me != nil && me.ratedSlowness == ch.ratedSlowness {
		fl.MeasuredLatency(ch.ID, took, ch.QueueWait)
	}
}

// MeasuredLatency records the time from sending a request to its first byte, together with the
// expected time.
func (fl *Fleet) MeasuredLatency(id string, took, expected time.Duration) {
	me := fl.members[id]
	if me == nil || expected <= 0 {
		return
	}
	// The expected time was already scaled by the present ratio.
	ratio := me.latencyRatio * (took + latencyPadding).Seconds() / (expected + latencyPadding).Seconds()
	me.latencyRatio += latencyRatioWeight * (min(latencyRatioMax, max(latencyRatioMin, ratio)) - me.latencyRatio)
}
