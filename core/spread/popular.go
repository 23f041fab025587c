package spread

import (
	"time"

	"github.com/bambooladder/bambooladder/core/decay"
)

const (
	// popularHalfLife is the time in which the weight of a past request halves.
	popularHalfLife = 8 * time.Second
	// popularThreshold is the decayed number of a zone's requests from which on its region loads the
	// adapter on an engine of its own: sending that many to another region costs about as much as
	// a fetch.
	popularThreshold = 6
	// popularThresholdMin is the lowest threshold of a single node, so that an adapter with only
	// occasional requests isn't popular.
	popularThresholdMin = 1.8
	// adaptersMax limits the adapters that are counted; all counts start again beyond it.
	adaptersMax = 20_000
)

// Popularity counts recent requests for each adapter; its zero value is ready to use.
type Popularity struct {
	counts map[string]decay.Count
}

// CountRequest counts a request for an adapter and reports whether the adapter is popular. The node
// receives one of the given number of equal shares of its zone's requests.
func (po *Popularity) CountRequest(adapter string, shares float64, now time.Time) bool {
	if po.counts == nil || len(po.counts) >= adaptersMax {
		po.counts = map[string]decay.Count{}
	}
	co := po.counts[adapter].Plus(now, popularHalfLife)
	po.counts[adapter] = co
	return co.At(now, popularHalfLife) >= max(popularThresholdMin, popularThreshold/max(1, shares))
}
