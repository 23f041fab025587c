package decay

import (
	"math"
	"time"
)

// Count is a number of events that decays; its zero value has seen none.
type Count struct {
	value float64
	at    time.Time
}

// At returns the count at a time.
func (co Count) At(now time.Time, halfLife time.Duration) float64 {
	return co.value * math.Exp2(-float64(now.Sub(co.at))/float64(halfLife))
}

// Plus returns the count with one more event.
func (co Count) Plus(now time.Time, halfLife time.Duration) Count {
	return Count{value: co.At(now, halfLife) + 1, at: now}
}
