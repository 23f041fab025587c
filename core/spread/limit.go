package spread

import (
	"math"
	"time"

	"github.com/bambooladder/bambooladder/core/lease"
)

const (
	// limitBurst is the time over which an unused part of a limit may be made up for.
	limitBurst = 250 * time.Millisecond
	// limitValidity is how long a node that may send less than one request in a second may wait with
	// it. Unused ones must not add up over the nodes.
	limitValidity = time.Second
	// leaseValidity is how long the requests of a lease may be sent.
	leaseValidity = 500 * time.Millisecond
	// leaseCountMax bounds the requests that a node asks for at once.
	leaseCountMax = 32
	// sharesTime is how long a node keeps to its share after nobody has answered an ask for a lease.
	sharesTime = 2 * time.Second
)

// limit is the number of requests that a server takes in a second from all entry nodes together. An
// entry node asks for a lease before it sends one. If nobody answers, each sends its share of the
// limit, evenly spaced. The zero value is no limit.
type limit struct {
	// perSecond is what the server named, zero for no limit.
	perSecond float64
	// nodes is the number of entry nodes that share the limit.
	nodes int
	// namedAt is when an answer last named the limit.
	namedAt time.Time
	// leased is the number of requests that may still be sent until leaseEnd, askNext the number to ask
	// for next.
	leased   int
	askNext  int
	leaseEnd time.Time
	// askAt is when this node may ask for a lease again.
	askAt time.Time
	// sharesUntil is how long this node keeps to its share, as nobody answers.
	sharesUntil time.Time
	// nextAt is when this node may send its next request of its share.
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
	li.perSecond, li.nodes, li.namedAt = max(lease.RateMin, perSecond), nodes, now
	if !known || li.nextAt.After(now.Add(li.interval())) {
		li.nextAt = now.Add(time.Duration(random * float64(li.interval())))
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

// WithLease returns the limit after an ask for a lease was answered. A node that needs one lease soon
// after the other asks for twice as many requests next.
func (li limit) WithLease(le lease.Lease, now time.Time) limit {
	if le.Count == 0 {
		li.askAt, li.askNext = now.Add(le.Wait), 1
		return li
	}
	soon := now.Sub(li.leaseEnd) < 0
	li.askNext = 1
	if soon {
		li.askNext = min(leaseCountMax, 2*le.Count)
	}
	li.leased, li.leaseEnd = le.Count, now.Add(leaseValidity)
	return li
}

// WithSilence returns the limit after nobody has answered an ask for a lease.
func (li limit) WithSilence(now time.Time) limit {
	li.sharesUntil, li.leased = now.Add(sharesTime), 0
	return li
}

// WithSent returns the limit after this node has sent a request of a lease or of its share.
func (li limit) WithSent(now time.Time) limit {
	if li.hasLease(now) {
		li.leased--
		return li
	}
	next := li.next(now)
	if earliest := now.Add(-limitBurst); next.Before(earliest) {
		next = earliest
	}
	li.nextAt = next.Add(li.interval())
	return li
}

// WithUnsent returns the limit after a request that WithSent has counted was not sent.
func (li limit) WithUnsent(now time.Time) limit {
	switch {
	case now.Before(li.leaseEnd):
		li.leased++
	case li.keepsShare(now):
		li.nextAt = li.nextAt.Add(-li.interval())
	}
	return li
}

// hasLease reports whether a request may be sent without asking.
func (li limit) hasLease(now time.Time) bool { return li.leased > 0 && now.Before(li.leaseEnd) }

// keepsShare reports whether this node keeps to its share, as nobody answers asks for leases.
func (li limit) keepsShare(now time.Time) bool { return now.Before(li.sharesUntil) }

// allowedAt returns when this node may send a request or ask for a lease next.
func (li limit) allowedAt(now time.Time) time.Time {
	switch {
	case li.hasLease(now):
		return now
	case li.keepsShare(now):
		return li.next(now)
	}
	return li.askAt
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

// allows reports whether this node may send a request now, or ask for a lease for it.
func (li limit) allows(now time.Time) bool { return !li.active() || !now.Before(li.allowedAt(now)) }

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

// LeaseQuery says for what a node must ask before it sends a request to a server with a limit.
type LeaseQuery struct {
	// PerSecond is the limit that the server has named.
	PerSecond float64
	// Count is the number of requests to ask for.
	Count int
}

// TakeLease counts a request that is about to be sent to a server. It returns false if the node has to
// ask for a lease first, and for what.
func (fl *Fleet) TakeLease(id string, now time.Time) (LeaseQuery, bool) {
	me := fl.members[id]
	if me == nil || !me.limit.active() {
		return LeaseQuery{}, true
	}
	if !me.limit.hasLease(now) && !me.limit.keepsShare(now) {
		return LeaseQuery{PerSecond: me.limit.perSecond, Count: max(1, me.limit.askNext)}, false
	}
	me.limit = me.limit.WithSent(now)
	return LeaseQuery{}, true
}

// LeaseAnswered records the answer to an ask for a lease, and reports whether it allows the request.
func (fl *Fleet) LeaseAnswered(id string, le lease.Lease, now time.Time) bool {
	me := fl.members[id]
	if me == nil || !me.limit.active() {
		return me != nil
	}
	me.limit = me.limit.WithLease(le, now)
	if le.Count > 0 {
		me.limit = me.limit.WithSent(now)
	}
	return le.Count > 0
}

// LeaseUnanswered records that nobody has answered an ask for a lease, and reports whether the node's
// share allows the request.
func (fl *Fleet) LeaseUnanswered(id string, now time.Time) bool {
	me := fl.members[id]
	if me == nil || !me.limit.active() {
		return me != nil
	}
	me.limit = me.limit.WithSilence(now)
	if !me.limit.allows(now) {
		return false
	}
	me.limit = me.limit.WithSent(now)
	return true
}

// Unsent records that a request that was counted for the limit of a server was not sent to it.
func (fl *Fleet) Unsent(id string, now time.Time) {
	if me := fl.members[id]; me != nil && me.limit.active() {
		me.limit = me.limit.WithUnsent(now)
	}
}
