package quota

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// Window is the time over which an excess is counted.
	Window = 8 * time.Second
	// RequestMax is the number of units above which a request is refused that needs more than the burst. It is below
	// the 17,000 units by which a window may exceed the limit, because such a request leaves the account in debt by
	// its size.
	RequestMax = 16_000
	// startTime is the time whose units a new account starts with. It keeps nothing of the time before: with the
	// burst, each restart would give that out again.
	startTime = 500 * time.Millisecond
	// capacityTime is the time whose units an account holds at least. Without a burst there would otherwise be
	// nothing to use up whenever no query comes for a moment.
	capacityTime = 250 * time.Millisecond
	// extraShare is the part of what an account holds that a node gets at most in addition to what it needs while
	// units are short. What one node holds is missing to the others.
	extraShare = 0.125
	// promisedShare is the part of the rate that is promised to callers who were refused.
	promisedShare = 0.7
	// waitMax bounds the wait that is told to callers.
	waitMax = Window
)

// Limit is what an organisation may use over all entry nodes, as of a version of the routes.
type Limit struct {
	Version int64
	// PerSecond is the number of units in a second, Burst the number that may be used at once in excess of that.
	PerSecond, Burst float64
}

// capacity returns the number of units that an account holds at most.
func (li Limit) capacity() float64 { return max(1, li.Burst, li.unitsIn(capacityTime)) }

// unitsIn returns the units that come in over a time.
func (li Limit) unitsIn(period time.Duration) float64 { return li.PerSecond * period.Seconds() }

// unitsSlowed returns the units that come in from one time to another if, up to the time until, only a part of the rate does.
func (li Limit) unitsSlowed(from, to, until time.Time, part float64) float64 {
	slow := max(0, min(to.Sub(from), until.Sub(from)))
	return li.unitsIn(to.Sub(from)-slow) + part*li.unitsIn(slow)
}

// timeOf returns the time in which a number of units comes in, at most waitMax.
func (li Limit) timeOf(units float64) time.Duration {
	return time.Duration(min(units/li.PerSecond, waitMax.Seconds()) * float64(time.Second))
}

// promiseTime returns the time that is promised for units to those who were refused. The promises leave a part of the rate
// to requests that come for the first time, and for callers who come back late.
func (li Limit) promiseTime(units int64) time.Duration {
	return li.timeOf(float64(units) / promisedShare)
}

// tooLarge reports whether a request can never be admitted.
func (li Limit) tooLarge(units int64) bool {
	return float64(units) > max(RequestMax, li.capacity())
}

// share returns the part of the limit that one of a number of entry nodes may use.
func (li Limit) share(entries int) Limit {
	li.PerSecond /= float64(max(1, entries))
	li.Burst /= float64(max(1, entries))
	return li
}

// Keeper returns the host of the agent that keeps the account of an organisation, by rendezvous hashing; it is empty if
// there are no hosts. It must be given all listed hosts, not only those that one node reaches: a keeper of its own for
// one node would give out the whole quota a second time.
func Keeper(organisation string, hosts []string) string {
	seed := xxh3.HashString(organisation)
	best, bestScore := "", uint64(0)
	for _, host := range hosts {
		score := xxh3.HashStringSeed(host, seed)
		if best == "" || score > bestScore || score == bestScore && host < best {
			best, bestScore = host, score
		}
	}
	return best
}
