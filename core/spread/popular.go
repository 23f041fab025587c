package spread

import (
	"time"

	"github.com/bambooladder/bambooladder/core/decay"
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

// Popularity counts how often adapters are asked for; its zero value has seen none.
type Popularity struct {
	counts map[string]decay.Count
}

// Asked counts a request for an adapter and tells whether it is popular; the node sees one
// of a number of equal shares of its zone's requests.
func (po *Popularity) Asked(adapter string, shares float64, now time.Time) bool {
	if po.counts == nil || len(po.counts) >= popularMax {
		po.counts = map[string]decay.Count{}
	}
	co := po.counts[adapter].Plus(now, popularHalfLife)
	po.counts[adapter] = co
	return co.At(now, popularHalfLife) >= max(popularMin, popularCount/max(1, shares))
}
