package decay

import (
	"math"
	"time"
)

// Count is an exponentially decaying number of events; its zero value has counted none.
type Count struct {
	count     float64
	countedAt time.Time
}

// At returns the decayed count at the given time.
func (co Count) At(now time.Time, halfLife time.Duration) float64 {
	return co.count * math.Exp2(-float64(now.Sub(co.countedAt))/float64(halfLife))
}

// Plus returns the count with one more event at the given time. All calls for a count must use the
// same half-life.
func (co Count) Plus(now time.Time, halfLife time.Duration) Count {
	return Count{count: co.At(now, halfLife) + 1, countedAt: now}
}
