package retry

import "time"

// windowParts is the number of parts in which a window forgets.
const windowParts = 10

// Window bounds the requests that one node sends again to one service within a time
// that slides: a share of its own requests, and its part of what all nodes together
// may add. Its zero value has seen nothing.
type Window struct {
	parts   [windowParts]part
	current int64
}

// part counts the requests of one part of the window.
type part struct {
	first  int
	repeat int
}

// Limits is what all nodes together may send again.
type Limits struct {
	// Share is the number of repeats for each request.
	Share float64
	// Slack is the number of repeats above the share, for all nodes together.
	Slack float64
	// Period is the time over which both are counted.
	Period time.Duration
	// Nodes is the number of nodes that divide the slack.
	Nodes int
}

// First counts a request that is sent for the first time.
func (wi *Window) First(li Limits, now time.Time) {
	wi.advance(li, now)
	wi.parts[wi.current%windowParts].first++
}

// Take counts a repeat and tells whether it is allowed.
func (wi *Window) Take(li Limits, now time.Time) bool {
	wi.advance(li, now)
	first, repeat := 0, 0
	for _, pa := range wi.parts {
		first += pa.first
		repeat += pa.repeat
	}
	allowed := li.Share*float64(first) + li.Slack/float64(max(1, li.Nodes))
	if float64(repeat+1) > allowed {
		return false
	}
	wi.parts[wi.current%windowParts].repeat++
	return true
}

// advance forgets the parts that are over.
func (wi *Window) advance(li Limits, now time.Time) {
	number := now.UnixNano() / int64(max(1, li.Period/windowParts))
	if number-wi.current >= windowParts || number < wi.current {
		wi.parts = [windowParts]part{}
		wi.current = number
		return
	}
	for wi.current < number {
		wi.current++
		wi.parts[wi.current%windowParts] = part{}
	}
}
