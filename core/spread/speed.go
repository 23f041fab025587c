package spread

import (
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

const (
	// usualPrefillRate is the number of prompt tokens that an engine of usual speed prefills in a second.
	usualPrefillRate = grant.DefaultPrefillRate
	// usualEventTime is the longest usual time between two events of a stream on an engine of usual speed.
	usualEventTime = 30 * time.Millisecond
	// slownessMax bounds how slow an engine is taken to be, so that a wrong report gives a finite wait.
	slownessMax = 32.0
	// rescaleStep is the factor by which the slowness of an engine must change for its latency ratio to be
	// rescaled. Smaller changes are noise of the measurement, which the ratio follows by itself.
	rescaleStep = 1.25
)

// slowness returns how many times longer the engine takes to prefill a prompt than one of usual speed, one if it
// reports no rate. A report of more than the usual speed gains nothing.
func (lo *Load) slowness() float64 {
	if lo.PrefillRate <= 0 {
		return 1
	}
	return min(slownessMax, max(1, usualPrefillRate/float64(lo.PrefillRate)))
}

// decodeSlowness returns how many times longer a decoding step of the engine takes than one of usual speed: by
// the reported time of an event, by the prefill rate without it.
func (lo *Load) decodeSlowness() float64 {
	if lo.EventTime <= 0 {
		return lo.slowness()
	}
	return min(slownessMax, max(1, lo.EventTime.Seconds()/usualEventTime.Seconds()))
}

// prefillTime returns the time in which the engine prefills tokens at its own rate.
func (lo *Load) prefillTime(tokens int) time.Duration {
	usual := grant.PrefillTime(tokens)
	if lo.PrefillRate <= 0 {
		return usual
	}
	return time.Duration(float64(usual) * lo.slowness())
}

// applySpeed updates what depends on the engine's reported speed. The latency ratio has learnt what the reported
// rate now says; without a correction, the slowness of an engine that begins to report would count twice. The ratio
// only moves towards one: an engine that ceases to report is at its usual speed again.
func (me *member) applySpeed() {
	me.class = me.class.next(me.load.PrefillRate)
	earlier, slowness := max(1, me.ratedSlowness), me.load.slowness()
	change := slowness / earlier
	if change < rescaleStep && change > 1/rescaleStep {
		return
	}
	me.ratedSlowness = slowness
	switch {
	case change > 1 && me.latencyRatio > 1:
		me.latencyRatio = max(1, me.latencyRatio/change)
	case change < 1 && me.latencyRatio < 1:
		me.latencyRatio = min(1, me.latencyRatio/change)
	}
}
