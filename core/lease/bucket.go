package lease

import (
	"math"
	"time"

	"github.com/bambooladder/bambooladder/core/decay"
)

const (
	// RateMin is the number of requests in a second that are handed out at a lower limit, so that
	// entry nodes notice when the limit has ended.
	RateMin = 0.05
	// burstTime is the time over which requests that were not handed out may be made up for.
	burstTime = 500 * time.Millisecond
	// burstMin is the lowest bound on the requests that can be handed out at once.
	burstMin = 4
	// contentionHalfLife is the half-life of a refused ask in the count of those that wait.
	contentionHalfLife = 500 * time.Millisecond
	// contentionShare is the share of the refused asks that are expected to come again.
	contentionShare = 0.5
	// waitMax bounds the time after which an entry node may ask again.
	waitMax = 2 * time.Second
)

// Lease is the answer to an ask. It allows Count requests now, or none until Wait has passed.
type Lease struct {
	Count int
	Wait  time.Duration
}

// Bucket holds the requests that can be handed out for one server. The zero value is empty.
type Bucket struct {
	perSecond float64
	level     float64
	filledAt  time.Time
	// refused counts the asks that were refused recently.
	refused decay.Count
}

// FilledAt returns when the bucket was last asked.
func (bu Bucket) FilledAt() time.Time { return bu.filledAt }

// WithAsk returns the bucket after an entry node asked to send up to wanted requests to a server that
// takes perSecond of them in a second, and the answer.
func (bu Bucket) WithAsk(perSecond float64, wanted int, now time.Time) (Bucket, Lease) {
	bu = bu.filled(max(RateMin, perSecond), now)
	if count := min(wanted, int(bu.level)); count > 0 {
		bu.level -= float64(count)
		return bu, Lease{Count: count}
	}
	bu.refused = bu.refused.Plus(now, contentionHalfLife)
	missing := 1 - bu.level + contentionShare*(bu.refused.At(now, contentionHalfLife)-1)
	wait := time.Duration(math.Min(missing/bu.perSecond, waitMax.Seconds()) * float64(time.Second))
	if rare := time.Duration((1 - bu.level) / bu.perSecond * float64(time.Second)); rare > wait {
		wait = rare
	}
	return bu, Lease{Wait: wait}
}

// filled returns the bucket with what has come in since it was last asked.
func (bu Bucket) filled(perSecond float64, now time.Time) Bucket {
	if !bu.filledAt.IsZero() {
		bu.level += bu.perSecond * max(0, now.Sub(bu.filledAt).Seconds())
	}
	bu.perSecond, bu.filledAt = perSecond, now
	bu.level = min(bu.level, max(burstMin, perSecond*burstTime.Seconds()))
	return bu
}
