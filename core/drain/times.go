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
	// sureMargin is by what part of it the sure time exceeds the longest known one.
	sureMargin = 0.5
	// sureCountMin is the number of answers that tell how long another one may take.
	sureCountMin = 16
)

// Request describes what the time of an answer depends on.
type Request struct {
	Service, Route string
	// Size is the expected number of tokens of the answer, zero if it is not known.
	Size int
	// Streams is true if the answer is passed on as it comes. One that is ended cannot be told so any more.
	Streams bool
}

// Times holds how long the last answers took, by service, route and expected size. The zero value is empty.
type Times struct {
	groups map[group]*ring
}

// group is a set of requests whose answers take about as long: those of a route with sizes between two powers of two.
type group struct {
	service, route string
	bits           int
}

// group returns the group of the request.
func (rq *Request) group() group {
	return group{service: rq.Service, route: rq.Route, bits: bits.Len(uint(max(0, rq.Size)))}
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
	// Likely is not exceeded by most answers, Sure by hardly any, if enough are known.
	Likely, Sure time.Duration
	// Streams is that of the request.
	Streams bool
}

// known reports whether the estimate is based on any answers.
func (es Estimate) known() bool { return es.Count > 0 }

// sure reports whether the estimate is based on enough answers, and an answer that exceeds it nevertheless can be told so.
func (es Estimate) sure() bool { return es.Count >= sureCountMin && !es.Streams }

// Record records the time that a whole answer took from when its request was sent to the backend server.
func (ti *Times) Record(rq Request, took time.Duration) {
	if ti.groups == nil {
		ti.groups = map[group]*ring{}
	}
	gr := rq.group()
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

// Estimate returns how long the answer to a request may take. Where too few answers of its size are known, the next larger
// ones tell as well, and where its size is not known, all of its route.
func (ti *Times) Estimate(rq Request) Estimate {
	list := []time.Duration(nil)
	for gr := rq.group(); gr.bits <= bits.UintSize && (len(list) < sureCountMin || rq.Size <= 0); gr.bits++ {
		if ri := ti.groups[gr]; ri != nil {
			list = append(list, ri.times...)
		}
	}
	es := estimateOf(list)
	es.Streams = rq.Streams
	return es
}

// estimateOf returns the estimate by a list of times, which it sorts.
func estimateOf(times []time.Duration) Estimate {
	count := len(times)
	if count == 0 {
		return Estimate{}
	}
	slices.Sort(times)
	longest := times[count-1]
	return Estimate{Count: count, Likely: times[count-1-count/likelyOneIn], Sure: longest + share(sureMargin, longest)}
}
