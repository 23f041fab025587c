package grant

import (
	"time"

	"github.com/bambooladder/bambooladder/core/decay"
)

const (
	// DefaultPrefillRate is the number of prompt tokens that an engine of usual speed prefills
	// in a second.
	DefaultPrefillRate = 17_000.0
	// prefillRateWeight is the weight of a new sample in an engine's prefill rate. A sample
	// must cover at least prefillSampleTokensMin, because the time of a shorter prompt is
	// mostly network delay.
	prefillRateWeight      = 0.2
	prefillSampleTokensMin = 1500
	// burstSamplesMin is the number of samples after which the prefill rate is reported. Before, it is mostly the
	// default.
	burstSamplesMin = 5
	// burstPauseShare is the share of the longest tolerated pause that a burst of prompts may
	// take; the rest is left for the decoding steps of the running streams.
	burstPauseShare = 0.9
	// burstWaitMax is how long the burst limit may hold a prompt back.
	burstWaitMax = 500 * time.Millisecond
	// longPausesThreshold is the decayed number of streams with too long a pause from which on
	// bursts are limited; longPausesHalfLife is the half-life of a stream's weight in it.
	longPausesThreshold = 1.5
	longPausesHalfLife  = 10 * time.Second
	// burstLimitTime is how long bursts stay limited after the last pause that was too long.
	burstLimitTime = time.Minute
	// relevantPauseFactor is the multiple of the tolerated pause above which a pause is
	// ignored: such pauses have another cause than prompts, such as a host that stopped for a
	// while.
	relevantPauseFactor = 2.5
	// prefillReportGrace is how long, beyond twice its expected prefill time, a prompt may stay
	// pending. It then counts as prefilled, because the entry node's report may be lost.
	prefillReportGrace = 2 * time.Second
)

// prompt is a granted prompt that the engine has not prefilled yet.
type prompt struct {
	tokens int
	// expiresAt is when the prompt counts as prefilled if no report came.
	expiresAt time.Time
}

// pacer tracks the granted prompts of an engine and limits how many are granted in a
// row. The engine prefills prompts between the decoding steps of its streams, so consecutive
// prompts stall the streams. Where such a stall exceeds what callers tolerate, prompts are
// granted in bursts with a break in between. The zero value is ready to use.
type pacer struct {
	pending map[string]prompt
	// burstTokens is the number of prompt tokens granted since the engine last had no prompt to
	// prefill, and burstStart is when the first of them was granted.
	burstTokens int
	burstStart  time.Time
	// burstMeasurable is false once a prompt of the burst was removed without a report of its
	// prefill; such a burst yields no sample of the prefill rate.
	burstMeasurable bool
	// prefillDoneAt is the estimated time at which all granted prompts are prefilled, at the
	// default rate.
	prefillDoneAt time.Time
	// prefillRate is the measured number of prompt tokens prefilled in a second, zero before
	// the first sample.
	prefillRate float64
	// prefillSamples is the number of samples of prefillRate.
	prefillSamples int
	// longPauses counts the streams that paused for longer than tolerated; pauseLimit is the
	// shortest tolerated pause among them.
	longPauses   decay.Count
	pauseLimit   time.Duration
	limitedUntil time.Time
	// speed measures whether the engine is slow; burstPrompts is the number of prompts of the burst.
	speed        speed
	burstPrompts int
	// pauseBounds counts the granted requests by the longest pause that their callers tolerate.
	pauseBounds map[time.Duration]int
}

// tokensPerSecond returns the engine's prefill rate.
func (pa *pacer) tokensPerSecond() float64 {
	if pa.prefillRate == 0 {
		return DefaultPrefillRate
	}
	return pa.prefillRate
}

// burstLimit returns the number of tokens that may be granted without a break, zero for no
// limit. A request that is about to be granted has a bound on its pauses, zero for none.
func (pa *pacer) burstLimit(pauseMax time.Duration, now time.Time) int {
	limit := pa.slowBurstLimit(pauseMax)
	if !now.Before(pa.limitedUntil) {
		return limit
	}
	byPauses := int(burstPauseShare * pa.pauseLimit.Seconds() * pa.tokensPerSecond())
	if limit == 0 || byPauses < limit {
		return byPauses
	}
	return limit
}

// slowBurstLimit returns the burst limit of an engine that counts as slow, zero for another one. It keeps the
// strictest bound on pauses of the granted requests and of the one that is about to be granted.
func (pa *pacer) slowBurstLimit(pauseMax time.Duration) int {
	if !pa.speed.slow {
		return 0
	}
	strictest := pauseMax
	for bound := range pa.pauseBounds {
		if strictest == 0 || bound < strictest {
			strictest = bound
		}
	}
	if strictest == 0 {
		return 0
	}
	room := burstPauseShare*strictest.Seconds() - pa.speed.eventTime.Seconds()
	return max(1, int(room*pa.speed.rate()))
}

// grantAdded counts a granted request by its bound on pauses.
func (pa *pacer) grantAdded(pauseMax time.Duration) {
	if pauseMax <= 0 {
		return
	}
	if pa.pauseBounds == nil {
		pa.pauseBounds = map[time.Duration]int{}
	}
	pa.pauseBounds[pauseMax]++
}

// grantRemoved reverses grantAdded.
func (pa *pacer) grantRemoved(pauseMax time.Duration) {
	if pa.pauseBounds[pauseMax] > 1 {
		pa.pauseBounds[pauseMax]--
		return
	}
	delete(pa.pauseBounds, pauseMax)
}

// observe measures the engine's speed by the running requests that it reports.
func (pa *pacer) observe(runs []Run, now time.Time) {
	before := pa.speed.rate()
	pa.speed.observe(runs, now)
	pa.rescale(before, now)
}

// rescale adjusts the time until the granted prompts are prefilled to a rate that has changed.
func (pa *pacer) rescale(before float64, now time.Time) {
	if left := pa.prefillDoneAt.Sub(now); left > 0 {
		pa.prefillDoneAt = now.Add(time.Duration(float64(left) * before / pa.speed.rate()))
	}
}

// burstRate returns the measured prefill rate of bursts, zero before burstSamplesMin samples.
func (pa *pacer) burstRate() int {
	if pa.prefillSamples < burstSamplesMin {
		return 0
	}
	return int(pa.prefillRate)
}

// reportedRate returns the measured rate while the engine counts as slow, zero otherwise.
func (pa *pacer) reportedRate() int {
	if !pa.speed.slow {
		return 0
	}
	return max(1, int(pa.speed.rate()))
}

// reportedEventTime returns the event time while the engine counts as slow, zero otherwise.
func (pa *pacer) reportedEventTime() time.Duration {
	if !pa.speed.slow {
		return 0
	}
	return pa.speed.eventTime
}

// allows reports whether a prompt that has waited for some time may be granted now. The first
// prompt of a burst always may, a further one only if the burst stays within its limit. If
// prompts arrive faster than the engine prefills them, no limit can protect the running
// streams, so a prompt that has waited for burstWaitMax is granted regardless.
func (pa *pacer) allows(tokens int, pauseMax, waited time.Duration, now time.Time) bool {
	limit := pa.burstLimit(pauseMax, now)
	return limit == 0 || len(pa.pending) == 0 || pa.burstTokens+tokens <= limit || waited > burstWaitMax
}

// promptGranted adds a prompt that was granted.
func (pa *pacer) promptGranted(attempt string, tokens int, now time.Time) {
	if pa.pending == nil {
		pa.pending = map[string]prompt{}
	}
	if len(pa.pending) == 0 {
		pa.burstTokens, pa.burstPrompts, pa.burstStart, pa.burstMeasurable = 0, 0, now, true
	}
	pa.burstTokens += tokens
	pa.burstPrompts++
	pa.speed.attemptChanged(attempt)
	pa.prefillDoneAt = later(pa.prefillDoneAt, now).Add(pa.speed.prefillTime(tokens))
	pa.pending[attempt] = prompt{tokens: tokens, expiresAt: now.Add(2*pa.prefillDoneAt.Sub(now) + prefillReportGrace)}
}

// prefillDone removes the prompt of a stream whose first event has come, and measures the
// prefill rate once no prompt is pending.
func (pa *pacer) prefillDone(attempt string, now time.Time) {
	if _, ok := pa.pending[attempt]; !ok {
		return
	}
	delete(pa.pending, attempt)
	pa.speed.attemptChanged(attempt)
	if len(pa.pending) > 0 {
		return
	}
	pa.prefillDoneAt = now
	took := now.Sub(pa.burstStart).Seconds()
	if pa.burstMeasurable && pa.burstTokens >= prefillSampleTokensMin && took > 0 {
		pa.prefillSamples++
		pa.prefillRate = pa.tokensPerSecond() + prefillRateWeight*(float64(pa.burstTokens)/took-pa.tokensPerSecond())
		pa.speed.addBurst(pa.burstTokens, pa.burstPrompts, now.Sub(pa.burstStart), now)
	}
}

// requestEnded removes the prompt of a request that has ended, whether it was prefilled or not.
func (pa *pacer) requestEnded(attempt string, now time.Time) {
	_, ok := pa.pending[attempt]
	if ok {
		pa.burstMeasurable = false
		pa.prefillDone(attempt, now)
	}
	pa.speed.attemptEnded(attempt, ok)
}

// expirePrompts removes the prompts that have been pending for too long.
func (pa *pacer) expirePrompts(now time.Time) {
	pa.speed.expire(now)
	for attempt, pr := range pa.pending {
		if !now.Before(pr.expiresAt) {
			pa.requestEnded(attempt, now)
		}
	}
}

// recordPause compares the longest pause of a stream with the longest that its caller
// tolerates, and limits bursts if too many streams paused for too long.
func (pa *pacer) recordPause(longestPause, tolerated time.Duration, now time.Time) {
	if tolerated <= 0 || longestPause <= tolerated || float64(longestPause) > relevantPauseFactor*float64(tolerated) {
		return
	}
	if pa.pauseLimit == 0 || tolerated < pa.pauseLimit {
		pa.pauseLimit = tolerated
	}
	pa.longPauses = pa.longPauses.Plus(now, longPausesHalfLife)
	if pa.longPauses.At(now, longPausesHalfLife) >= longPausesThreshold {
		pa.limitedUntil = now.Add(burstLimitTime)
	}
}

// reset discards the state of an earlier engine process; its speed is measured anew. The granted requests stay until
// they are released.
func (pa *pacer) reset() { *pa = pacer{pauseBounds: pa.pauseBounds} }
