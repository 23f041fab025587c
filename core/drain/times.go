package drain

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// timesKept is the number of answer times that are kept of each group of requests.
	timesKept = 128
	// groupsMax bounds the number of groups.
	groupsMax = 4096
	// likelyOneIn is how rarely an answer takes longer than the likely time: one in so many.
	likelyOneIn = 20
	// sureMargin is what the sure time exceeds the longest known one by, at most this part of it.
	sureMargin = 4
)

// Times holds how long the last answers took, by route and expected size of the answer. The zero value is empty.
type Times struct {
	groups map[group]*ring
}

// group is a set of requests whose answers take about as long: those of a route with sizes between two powers of two.
type group struct {
	route string
	bits  int
}

// ring holds the last times of a group, the oldest of which is replaced next.
type ring struct {
	times []time.Duration
	next  int
}

// Estimate is how long an answer may take. The zero value is that of an answer of which nothing is known.
type Estimate struct {
	// Count is the number of answers that the estimate is based on.
	Count int
	// Likely is not exceeded by most answers, Sure by hardly any.
	Likely, Sure time.Duration
}

// Record records the time that an answer took from when its request was sent to the backend server. The size is the
// expected number of tokens of the answer, zero if it is not known.
func (ti *Times) Record(route string, size int, took time.Duration) {
	if ti.groups == nil {
		ti.groups = map[group]*ring{}
	}
	gr := group{route: route, bits: bits.Len(uint(max(0, size)))}
	ri := ti.groups[gr]
	if ri == nil {
		if len(ti.groups) >= groupsMax {
			clear(ti.groups)
		}
		ri = &ring{}
		ti.groups[gr] = ri
	}
	ri.add(took)
}

// add adds a time.
func (ri *ring) add(took time.Duration) {
	if len(ri.times) < timesKept {
		ri.times = append(ri.times, took)
		return
	}
	ri.times[ri.next] = took
	ri.next = (ri.next + 1) % timesKept
}

// Estimate returns how long an answer of a route may take. Where no answer of its size is known, the next larger ones
// that are known tell.
func (ti *Times) Estimate(route string, size int) Estimate {
	for length := bits.Len(uint(max(0, size))); length <= bits.UintSize; length++ {
		if ri := ti.groups[group{route: route, bits: length}]; ri != nil {
			return ri.estimate()
		}
	}
	return Estimate{}
}

// estimate returns the estimate by the times that are kept.
func (ri *ring) estimate() Estimate {
	sorted := slices.Clone(ri.times)
	slices.Sort(sorted)
	count := len(sorted)
	longest := sorted[count-1]
	return Estimate{
		Count: count, Likely: sorted[count-1-count/likelyOneIn], Sure: longest + longest/time.Duration(min(count, sureMargin)),
	}
}
