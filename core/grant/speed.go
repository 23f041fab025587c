package grant

import (
	"slices"
	"time"
)

const (
	// slowBelow and soundAbove are shares of DefaultPrefillRate. An engine counts as slow once its measured rate is
	// below the first, and until it is above the second. Engines that are alike differ by less than that.
	slowBelow  = 0.7
	soundAbove = 0.8
	// slowSamples is the number of consecutive samples below slowBelow after which an engine counts as slow. Two
	// suffice below verySlowBelow, so that a slow spell is detected within two inspections.
	slowSamples     = 3
	verySlowBelow   = 0.5
	verySlowSamples = 2
	// stallMax is how long an engine of usual speed may do nothing without being taken for a slow one.
	stallMax = 250 * time.Millisecond
	// soundSamples is the number of consecutive samples above soundAbove after which an engine ceases to be slow.
	soundSamples = 2
	// speedSampleTokensMin is the number of prompt tokens from which on an interval between two reports yields a
	// sample. A shorter prompt takes not much longer than an event, by which the times are uncertain.
	speedSampleTokensMin = 1000
	// reportIntervalMin and reportIntervalMax bound the time between two reports that are compared. After a longer time,
	// an inspection has failed. While the engine counts as slow, slowIntervalMin applies: a report shows whole pieces of
	// prompts only, and a slow engine needs up to half a second for one.
	reportIntervalMin = 180 * time.Millisecond
	slowIntervalMin   = 400 * time.Millisecond
	reportIntervalMax = 1500 * time.Millisecond
	// measureInterval is the time between inspections while requests run on an engine that reports them.
	measureInterval = 200 * time.Millisecond
	// eventTimeAllowance is more than the time between two events of a stream on an engine of usual speed while no prompt
	// is read. This much of the time between reports never counts as time for prompts.
	eventTimeAllowance = 40 * time.Millisecond
	// unclockedShare is the share of the time between reports that counts as time for prompts while no stream runs all
	// the time. The rest is for the decoding steps of the streams that began and ended.
	unclockedShare = 0.7
	// tokensPerEventMax is the number of output tokens that are assumed for one event.
	tokensPerEventMax = 4
	// slowEventTime is the event time above which the event time alone, if it rises abruptly, shows a slow spell.
	slowEventTime = 60 * time.Millisecond
	// eventTimeWeight is the weight of a new sample in the event time.
	eventTimeWeight = 0.4
	// fasterEventShare is the share of its event time below which an engine's slow spell has ended.
	fasterEventShare = 0.5
	// burstOverhead is the part of a burst's time, for each of its prompts, that is no time for reading prompts: the
	// network delay of grant, request and report, and the time of the first event.
	burstOverhead = 60 * time.Millisecond
	// burstSlowBelow and burstSlowSamples apply to samples from bursts, which include the decoding steps between the
	// pieces of prompts. Such samples count if the reports gave none for reportSamplesFresh.
	burstSlowBelow     = 0.5
	burstSlowSamples   = 4
	reportSamplesFresh = 10 * time.Second
	// speedForgetAfter is how long an engine counts as slow without a new sample.
	speedForgetAfter = time.Minute
	// shareMin bounds the measured rate as a share of the default rate.
	shareMin = 0.02
	// rateSamplesMax is the number of samples that the rate is computed from.
	rateSamplesMax = 6
)

// rateSample is how long the engine took to prefill some prompt tokens.
type rateSample struct {
	tokens int
	took   time.Duration
}

// share returns the sample's rate as a share of the default rate.
func (rs rateSample) share() float64 {
	return float64(rs.tokens) / max(rs.took, time.Millisecond).Seconds() / DefaultPrefillRate
}

// speed measures how fast an engine prefills prompts and makes events, and decides whether it counts as slow. The
// running streams serve as a clock: between two reports, the engine has made so many events of each, and the
// remaining time it has spent on prompts. This needs no network delay and no idle time to be known. The zero value
// is ready to use.
type speed struct {
	// base holds the runs of the report at baseAt, with which the next one is compared.
	base   map[string]Run
	baseAt time.Time
	// fresh holds the attempts that were granted or whose first event came since baseAt. If one of them has ended,
	// unseen is true: the engine may have read a prompt that no report shows.
	fresh  map[string]bool
	unseen bool
	// eventTime is the moving average of the time of an event, of eventSamples samples.
	eventTime    time.Duration
	eventSamples int
	// fasterEvents counts the consecutive samples of the event time below fasterEventShare.
	fasterEvents int
	// samples holds the latest samples of the prefill rate, the newest last.
	samples     []rateSample
	rateSamples int
	// sampledAt is when the last sample was taken, reportedAt when the last one from reports.
	sampledAt  time.Time
	reportedAt time.Time
	// low, veryLow and high count the consecutive samples that are below or above the thresholds.
	low, veryLow, high int
	slow               bool
	paces              []int
}

// measured returns the measured values.
func (sp *speed) measured() Speed {
	return Speed{
		Slow: sp.slow, PrefillRate: int(sp.meanShare() * DefaultPrefillRate), EventTime: sp.eventTime,
		RateSamples: sp.rateSamples, EventSamples: sp.eventSamples,
	}
}

// meanShare returns the rate of the latest samples as a share of the default rate, zero without samples.
func (sp *speed) meanShare() float64 {
	sum := rateSample{}
	for _, rs := range sp.samples {
		sum.tokens += rs.tokens
		sum.took += max(0, rs.took)
	}
	return sum.share()
}

// rate returns the measured number of prompt tokens prefilled in a second while the engine counts as slow, and the
// default rate otherwise.
func (sp *speed) rate() float64 {
	if !sp.slow {
		return DefaultPrefillRate
	}
	return min(1, max(shareMin, sp.meanShare())) * DefaultPrefillRate
}

// prefillTime returns the time that the engine needs to prefill tokens.
func (sp *speed) prefillTime(tokens int) time.Duration {
	if !sp.slow {
		return PrefillTime(tokens)
	}
	return time.Duration(float64(tokens) / sp.rate() * float64(time.Second))
}

// attemptChanged records that an attempt was granted or that its first event has come.
func (sp *speed) attemptChanged(attempt string) {
	if sp.fresh == nil {
		sp.fresh = map[string]bool{}
	}
	sp.fresh[attempt] = true
}

// attemptEnded records that an attempt has ended; pending is true if its first event is not known to have come.
func (sp *speed) attemptEnded(attempt string, pending bool) {
	sp.unseen = sp.unseen || pending || sp.fresh[attempt]
	delete(sp.fresh, attempt)
}

// addReported takes a sample of the prefill rate from reports.
func (sp *speed) addReported(rs rateSample, now time.Time) {
	sp.reportedAt = now
	sp.addRate(rs, slowBelow, slowSamples, now)
}

// addEventTime takes a sample of the event time from an interval in which each stream had some events.
func (sp *speed) addEventTime(events int, interval time.Duration, now time.Time) {
	took := interval / time.Duration(events)
	sp.eventSamples++
	usual := sp.eventTime
	sp.eventTime += time.Duration(eventTimeWeight * float64(took-sp.eventTime))
	if sp.eventSamples == 1 {
		sp.eventTime = took
	}
	if sp.slow {
		sp.sampledAt = now
	}
	if !sp.slow || float64(took) >= fasterEventShare*float64(usual) {
		sp.fasterEvents = 0
	}
	switch share := float64(usual) / float64(took); {
	case sp.slow && share > 1/fasterEventShare:
		sp.fasterEvents++
		sp.eventTime = usual
		if sp.fasterEvents >= soundSamples {
			sp.fasterEvents, sp.eventTime = 0, took
			sp.beginSound()
		}
	case !sp.slow && sp.eventSamples > slowSamples && share < verySlowBelow && took > slowEventTime:
		sp.eventTime = usual
		// As much slower as the events are, so are prompts.
		sp.addReported(rateSample{int(share * DefaultPrefillRate * interval.Seconds()), interval}, now)
		if sp.slow {
			sp.eventTime = took
		}
	}
}

// addBurst takes a sample from a burst of prompts, unless reports yield better ones.
func (sp *speed) addBurst(tokens, prompts int, took time.Duration, now time.Time) {
	rs := rateSample{tokens, max(0, took-time.Duration(prompts)*burstOverhead)}
	// Prompts that a stall delays are the likeliest to be seen in two reports. Bursts of usual speed between them show
	// that the engine is sound.
	if !sp.slow && rs.share() > slowBelow {
		sp.low, sp.veryLow = 0, 0
	}
	// A fast burst shows that a slow spell has ended, whatever the reports have shown.
	if now.Sub(sp.reportedAt) >= reportSamplesFresh || sp.slow && rs.share() > soundAbove {
		sp.addRate(rs, burstSlowBelow, burstSlowSamples, now)
	}
}

// addRate takes a sample of the prefill rate. The engine begins to count as slow after enough samples in a row whose
// share of the default rate is below a threshold.
func (sp *speed) addRate(rs rateSample, below float64, enough int, now time.Time) {
	if now.Sub(sp.sampledAt) > speedForgetAfter {
		sp.low, sp.veryLow, sp.high, sp.samples = 0, 0, 0, sp.samples[:0]
	}
	sp.sampledAt = now
	sp.rateSamples++
	sp.low, sp.veryLow, sp.high = countIf(sp.low, rs.share() < below), countIf(sp.veryLow, rs.share() < min(below, verySlowBelow)), countIf(sp.high, rs.share() > soundAbove)
	if len(sp.samples) == rateSamplesMax {
		sp.samples = slices.Delete(sp.samples, 0, 1)
	}
	sp.samples = append(sp.samples, rs)
	switch {
	case !sp.slow && (sp.low >= enough && sp.lowBeyondStall(sp.low, below) || sp.veryLow > 0 && sp.isVerySlow(enough)):
		sp.slow = true
		sp.samples = sp.samples[max(0, len(sp.samples)-sp.low):]
	case sp.slow && sp.high >= soundSamples && sp.meanShare() > soundAbove:
		sp.beginSound()
	}
}

// isVerySlow reports whether the latest samples suffice to show that the engine is very slow, where enough samples show that
// it is slow.
func (sp *speed) isVerySlow(enough int) bool {
	count := sp.veryLow
	if enough == slowSamples && sp.samples[len(sp.samples)-1].took >= slowIntervalMin {
		count++
	}
	return count >= enough-slowSamples+verySlowSamples && sp.lowBeyondStall(sp.veryLow, verySlowBelow)
}

// lowBeyondStall reports whether the rate of the latest samples is low even if the engine did nothing for stallMax.
func (sp *speed) lowBeyondStall(count int, below float64) bool {
	sum := rateSample{took: -stallMax}
	for _, rs := range sp.samples[max(0, len(sp.samples)-count):] {
		sum.tokens += rs.tokens
		sum.took += rs.took
	}
	return sum.share() < below
}

// beginSound ends the time for which the engine counts as slow.
func (sp *speed) beginSound() {
	sp.slow, sp.low, sp.veryLow, sp.samples = false, 0, 0, sp.samples[:0]
}

// expire ends the verdict on an engine of which nothing was measured for speedForgetAfter.
func (sp *speed) expire(now time.Time) {
	if sp.slow && now.Sub(sp.sampledAt) > speedForgetAfter {
		*sp = speed{}
	}
}

// countIf returns the length of a row of samples with a property after a further one.
func countIf(count int, has bool) int {
	if has {
		return count + 1
	}
	return 0
}
