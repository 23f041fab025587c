package spread

import (
	"math"
	"time"
)

const (
	// limitMin is the number of requests in a second that entry nodes send together to a server with
	// a lower limit, so that they notice when the limit has ended.
	limitMin = 0.05
	// limitBurst is the time over which an unused part of a limit may be made up for.
	limitBurst = 250 * time.Millisecond
	// limitValidity is how long a node that may send less than one request in a second may wait with
	// it. Unused ones must not add up over the nodes.
	limitValidity = time.Second
)

// limit is the number of requests that a server takes in a second from all entry nodes together. Each
// entry node sends its share, evenly spaced. The zero value is no limit.
type limit struct {
	// perSecond is what the server named, zero for no limit.
	perSecond float64
	// nodes is the number of entry nodes that share the limit.
	nodes int
	// namedAt is when an answer last named the limit.
	namedAt time.Time
	// nextAt is when this node may send its next request.
	nextAt time.Time
}

// active reports whether there is a limit.
func (li limit) active() bool { return li.perSecond > 0 }

// interval returns the time between two requests of this node.
func (li limit) interval() time.Duration {
	perSecond := li.perSecond / float64(max(1, li.nodes))
	return time.Duration(math.Min(float64(time.Hour), float64(time.Second)/perSecond))
}

// WithNamed returns the limit after an answer named it. The first request of the node follows at a
// random part of the interval, from 0 to 1, so that nodes do not send at the same time.
func (li limit) WithNamed(perSecond float64, nodes int, random float64, now time.Time) limit {
	known := li.active()
	li.perSecond, li.nodes, li.namedAt = max(limitMin, perSecond), nodes, now
	if latest := now.Add(time.Duration(random * float64(li.interval()))); !known || li.nextAt.After(latest) && li.nextAt.After(now.Add(li.interval())) {
		li.nextAt = latest
	}
	return li
}

// WithNodes returns the limit shared by another number of entry nodes.
func (li limit) WithNodes(nodes int, now time.Time) limit {
	wait := li.nextAt.Sub(now)
	if wait > 0 {
		wait = time.Duration(float64(wait) * float64(max(1, nodes)) / float64(max(1, li.nodes)))
	}
	li.nodes, li.nextAt = nodes, now.Add(wait)
	return li
}

// WithSent returns the limit after this node has sent a request.
func (li limit) WithSent(now time.Time) limit {
	next := li.next(now)
	if earliest := now.Add(-limitBurst); next.Before(earliest) {
		next = earliest
	}
	li.nextAt = next.Add(li.interval())
	return li
}

// WithUnsent returns the limit after a request that was counted as sent has not been sent.
func (li limit) WithUnsent() limit {
	li.nextAt = li.nextAt.Add(-li.interval())
	return li
}

// next returns when this node may send its next request. A node that has let the time for a rare
// request pass has to wait for the next one.
func (li limit) next(now time.Time) time.Time {
	interval := li.interval()
	late := now.Sub(li.nextAt) - limitValidity
	if interval <= limitValidity || late <= 0 {
		return li.nextAt
	}
	period := interval + limitValidity
	missed := int64(late/period) + 1
	return li.nextAt.Add(time.Duration(missed * int64(period)))
}

// allows reports whether this node may send a request now.
func (li limit) allows(now time.Time) bool { return !li.active() || !now.Before(li.next(now)) }

// SetNodes sets the number of entry nodes that share the limits of servers.
func (fl *Fleet) SetNodes(nodes int, now time.Time) {
	if nodes == fl.nodes {
		return
	}
	fl.nodes = nodes
	for _, me := range fl.members {
		if me.limit.active() {
			me.limit = me.limit.WithNodes(nodes, now)
		}
	}
}

// LimitNamed records that an answer of a server named the number of requests that it takes in a
// second from all entry nodes together. It reports whether that differs from before. The argument
// random, from 0 to 1, spreads the nodes' requests.
func (fl *Fleet) LimitNamed(id string, perSecond, random float64, now time.Time) bool {
	me := fl.members[id]
	if me == nil {
		return false
	}
	earlier := me.limit.perSecond
	me.limit = me.limit.WithNamed(perSecond, fl.nodes, random, now)
	return me.limit.perSecond != earlier
}

// LimitEnded records that an answer of a server named no limit. It reports whether that ends one. An
// answer to a request that was sent before the limit was last named may be older than the limit.
func (fl *Fleet) LimitEnded(id string, sentAt time.Time) bool {
	me := fl.members[id]
	if me == nil || !me.limit.active() || sentAt.Before(me.limit.namedAt) {
		return false
	}
	me.limit = limit{}
	return true
}

// Unsent records that a request that Sent has counted was not sent to the server.
func (fl *Fleet) Unsent(id string) {
	if me := fl.members[id]; me != nil && me.limit.active() {
		me.limit = me.limit.WithUnsent()
	}
}
