package limit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
)

// inFlightWait is when to come back after the limit of requests in flight was met.
const inFlightWait = 250 * time.Millisecond

// team is the use that one team makes of an entry node.
type team struct {
	limits   conf.Limits
	bucket   *rate.Limiter
	inFlight int
}

// Teams holds the use of each team; its zero value is empty.
type Teams struct {
	teams map[string]*team
}

// Admit counts a request in, or returns a rate_limited error that tells when to come back.
func (ts *Teams) Admit(name string, li conf.Limits, now time.Time) error {
	te := ts.team(name, li, now)
	if li.InFlight > 0 && te.inFlight >= li.InFlight {
		return fault.New(fault.Limited, "team "+name+" has as many requests in flight as its limit allows",
			"come back later or ask an operator for a higher limits.in_flight").WithRetryAfter(inFlightWait)
	}
	if wait := te.wait(now); wait > 0 {
		return fault.New(fault.Limited, "team "+name+" sends more requests a second than its limit allows",
			"come back later or ask an operator for a higher limits.requests_per_second").WithRetryAfter(wait)
	}
	te.inFlight++
	return nil
}

// Leave counts a request out.
func (ts *Teams) Leave(name string) {
	if te := ts.teams[name]; te != nil && te.inFlight > 0 {
		te.inFlight--
	}
}

// InFlight returns the number of requests of a team.
func (ts *Teams) InFlight(name string) int {
	if te := ts.teams[name]; te != nil {
		return te.inFlight
	}
	return 0
}

// team returns a team's use under the limits in force.
func (ts *Teams) team(name string, li conf.Limits, now time.Time) *team {
	if ts.teams == nil {
		ts.teams = map[string]*team{}
	}
	te := ts.teams[name]
	if te == nil {
		te = &team{}
		ts.teams[name] = te
	}
	if te.bucket == nil || te.limits != li {
		te.limits = li
		te.bucket = rate.NewLimiter(limitOf(li), max(1, li.Burst))
		te.bucket.SetLimitAt(now, limitOf(li))
	}
	return te
}

// limitOf returns the rate of the limits, where zero stands for none.
func limitOf(li conf.Limits) rate.Limit {
	if li.RequestsPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(li.RequestsPerSecond)
}

// wait takes a token, or returns the time until there is one.
func (te *team) wait(now time.Time) time.Duration {
	re := te.bucket.ReserveN(now, 1)
	wait := re.DelayFrom(now)
	if wait > 0 {
		re.CancelAt(now)
	}
	return wait
}
