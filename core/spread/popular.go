package spread

import (
	"math"
	"time"
)

const (
	// popularHalfLife is the time in which the weight of a past request halves.
	popularHalfLife = 8 * time.Second
	// popularCount is the decayed number of requests above which a zone has an engine of
	// its own for an adapter: so many ways to another zone cost what a fetch does.
	popularCount = 6
	// popularMin keeps an adapter that is asked for once in a while from being popular.
	popularMin = 1.8
	// popularMax bounds the adapters that are counted.
	popularMax = 20_000
)

// count is a number of requests that decays over time.
type count struct {
	value float64
	at    time.Time
}

// Popularity counts how often adapters are asked for; its zero value has seen none.
type Popularity struct {
	counts map[string]count
}

// Asked counts a request for an adapter and tells whether it is popular; the node sees one
// of a number of equal shares of its zone's requests.
func (po *Popularity) Asked(adapter string, shares float64, now time.Time) bool {
	if po.counts == nil || len(po.counts) >= popularMax {
		po.counts = map[string]count{}
	}
	co := po.counts[adapter]
	co.value = co.value*math.Exp2(-float64(now.Sub(co.at))/float64(popularHalfLife)) + 1
	co.at = now
	po.counts[adapter] = co
	return co.value >= max(popularMin, popularCount/max(1, shares))
}
