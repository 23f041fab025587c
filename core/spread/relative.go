package spread

import (
	"slices"
	"time"
)

const (
	// relativeBelow is the share of the reference rate of its service below which an engine counts as slower than the
	// others, and relativeAbove the share above which it no longer does. Engines within a third of each other, and
	// the noise of the measurement, change nothing.
	relativeBelow = 0.63
	relativeAbove = 0.77
	// referencePeriod is how long a reference rate is used before it is computed anew.
	referencePeriod = time.Second
	// referenceMin is the least number of engines with a measured rate from which a reference is computed.
	referenceMin = 3
)

// referenceRate is the median of the burst rates of a service's engines.
type referenceRate struct {
	rate       float64
	computedAt time.Time
}

// reference returns the reference rate of a service, zero if too few engines have a measured rate.
func (fl *Fleet) reference(service string, now time.Time) float64 {
	re := fl.references[service]
	if !re.computedAt.IsZero() && now.Sub(re.computedAt) < referencePeriod {
		return re.rate
	}
	if fl.references == nil {
		fl.references = map[string]referenceRate{}
	}
	re = referenceRate{rate: medianRate(fl.services[service]), computedAt: now}
	fl.references[service] = re
	return re.rate
}

// medianRate returns the median of the burst rates that engines have reported, zero if too few have.
func medianRate(group []*member) float64 {
	rates := make([]int, 0, len(group))
	for _, me := range group {
		if me.load.BurstRate > 0 {
			rates = append(rates, me.load.BurstRate)
		}
	}
	if len(rates) < referenceMin || 2*len(rates) < len(group) {
		return 0
	}
	slices.Sort(rates)
	return float64(rates[len(rates)/2])
}

// withRelativeSpeed returns the load of an engine whose agent has measured that it is much slower than the others of its
// service, as if the agent had found it slow by itself: the rate becomes that share of the usual one, and the
// backlog grows. It answers a load of engines with different speeds that are all about as fast as assumed or faster. An
// agent knows only its own engine; slow is what the entry node took the engine for so far.
func (fl *Fleet) withRelativeSpeed(me *member, lo Load) (Load, bool) {
	if lo.PrefillRate > 0 || lo.BurstRate <= 0 {
		return lo, false
	}
	reference := fl.reference(me.Service, lo.ReportedAt)
	if reference <= 0 {
		return lo, false
	}
	share := max(1/slownessMax, float64(lo.BurstRate)/reference)
	if share >= relativeAbove || share >= relativeBelow && !me.relativelySlow {
		return lo, false
	}
	lo.PrefillRate = max(1, int(share*usualPrefillRate))
	lo.Backlog = time.Duration(float64(lo.Backlog) / share)
	return lo, true
}
