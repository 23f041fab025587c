package limit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
)

// inFlightRetryAfter is the suggested wait after a refusal because of requests in flight.
const inFlightRetryAfter = 250 * time.Millisecond

// usage is what one team uses of its limits on an entry node.
type usage struct {
	limits   conf.Limits
	bucket   *rate.Limiter
	inFlight int
}

// Teams holds the usage of each team. The zero value is ready for use.
type Teams struct {
	teams map[string]*usage
}

// Admit counts a request as in flight, or returns a rate_limited error with the time after
// which the caller may retry. Release must be called once for each admitted request.
func (ts *Teams) Admit(name string, li conf.Limits, now time.Time) error {
	us := ts.usageOf(name, li, now)
	if li.InFlight > 0 && us.inFlight >= li.InFlight {
		return fault.New(fault.RateLimited, "team "+name+" has as many requests in flight as its limit allows",
			"come back later or ask an operator for a higher limits.in_flight").WithRetryAfter(inFlightRetryAfter)
	}
	if wait := us.takeToken(li, now); wait > 0 {
		return fault.New(fault.RateLimited, "team "+name+" sends more requests a second than its limit allows",
			"come back later or ask an operator for a higher limits.requests_per_second").WithRetryAfter(wait)
	}
	us.inFlight++
	return nil
}

// Release stops counting one admitted request of a team as in flight.
func (ts *Teams) Release(name string) {
	if us := ts.teams[name]; us != nil && us.inFlight > 0 {
		us.inFlight--
	}
}

// InFlight returns the number of requests that a team has in flight.
func (ts *Teams) InFlight(name string) int {
	if us := ts.teams[name]; us != nil {
		return us.inFlight
	}
	return 0
}

// usageOf returns the usage of a team, which is created if it does not exist. If the limits have
// changed, the bucket keeps its level, so that a change gives no team more requests than either
// limit allows. While a team has no limit, its bucket stays as it is.
func (ts *Teams) usageOf(name string, li conf.Limits, now time.Time) *usage {
	if ts.teams == nil {
		ts.teams = map[string]*usage{}
	}
	us := ts.teams[name]
	if us == nil {
		us = &usage{}
		ts.teams[name] = us
	}
	if li.RequestsPerSecond <= 0 {
		return us
	}
	rateLimit := rate.Limit(li.RequestsPerSecond)
	switch {
	case us.bucket == nil:
		us.bucket = rate.NewLimiter(rateLimit, max(1, li.Burst))
		// NewLimiter starts at the zero time; this moves the bucket to now.
		us.bucket.SetLimitAt(now, rateLimit)
	case us.limits != li:
		us.bucket.SetLimitAt(now, rateLimit)
		us.bucket.SetBurstAt(now, max(1, li.Burst))
	}
	us.limits = li
	return us
}

// takeToken takes a token from the bucket and returns zero, which it also does for a team without
// a limit. If there is no token, it takes nothing and returns the time until one is available.
func (us *usage) takeToken(li conf.Limits, now time.Time) time.Duration {
	if li.RequestsPerSecond <= 0 {
		return 0
	}
	re := us.bucket.ReserveN(now, 1)
	wait := re.DelayFrom(now)
	if wait > 0 {
		re.CancelAt(now)
	}
	return wait
}
