package retry

import "time"

// bucketCount is the number of buckets in a sliding window.
const bucketCount = 10

// Window limits the retries of one node to one service, counted over a sliding time window.
// It allows a share of the node's own requests, plus the node's part of the slack that all
// nodes have together. The zero value has counted nothing.
type Window struct {
	// buckets is a ring buffer, indexed by bucket number modulo bucketCount.
	buckets [bucketCount]bucket
	// current is the number of the newest bucket, counted from the Unix epoch.
	current int64
}

// bucket counts the requests of one section of the window.
type bucket struct {
	firstAttempts int
	retries       int
}

// Limits bounds the retries of all nodes together.
type Limits struct {
	// Share is the number of retries allowed for each request.
	Share float64
	// Slack is the number of retries allowed on top of the share, for all nodes together.
	Slack float64
	// Period is the length of the sliding window.
	Period time.Duration
	// Nodes is the number of nodes that divide the slack evenly.
	Nodes int
}

// AddRequest counts the first attempt of a request.
func (wi *Window) AddRequest(li Limits, now time.Time) {
	wi.advance(li, now)
	wi.buckets[wi.current%bucketCount].firstAttempts++
}

// Take reports whether a retry is allowed, and counts it if so.
func (wi *Window) Take(li Limits, now time.Time) bool {
	wi.advance(li, now)
	firstAttempts, retries := 0, 0
	for _, bu := range wi.buckets {
		firstAttempts += bu.firstAttempts
		retries += bu.retries
	}
	allowed := li.Share*float64(firstAttempts) + li.Slack/float64(max(1, li.Nodes))
	if float64(retries+1) > allowed {
		return false
	}
	wi.buckets[wi.current%bucketCount].retries++
	return true
}

// advance moves the window to the current time and resets the buckets that left it. It
// resets all of them if the whole window has passed or the clock went back.
func (wi *Window) advance(li Limits, now time.Time) {
	bucketNumber := now.UnixNano() / int64(max(1, li.Period/bucketCount))
	if bucketNumber-wi.current >= bucketCount || bucketNumber < wi.current {
		wi.buckets = [bucketCount]bucket{}
		wi.current = bucketNumber
		return
	}
	for wi.current < bucketNumber {
		wi.current++
		wi.buckets[wi.current%bucketCount] = bucket{}
	}
}
