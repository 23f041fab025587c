package spread

import "time"

// PauseAsked records that a server wants no requests from this node until a time. A shorter pause than
// one that is under way changes nothing. It reports whether the end of the pause has changed.
func (fl *Fleet) PauseAsked(id string, until time.Time) bool {
	me := fl.members[id]
	if me == nil || !until.After(me.pausedUntil) {
		return false
	}
	me.pausedUntil = until
	return true
}

// paused reports whether the server wants no requests from this node.
func (me *member) paused(now time.Time) bool { return now.Before(me.pausedUntil) }

// takesNow reports whether the server takes a request of this node now: it is neither leaving nor
// paused, and its limit allows a request or an ask for a lease.
func (me *member) takesNow(now time.Time) bool {
	return !me.leaving() && !me.paused(now) && me.limit.allows(now)
}

// leaving reports whether the server is leaving by its record or its agent's report.
func (me *member) leaving() bool { return me.Leaving || me.load.Draining }

// Accepts reports whether a request that was meant for a server may still be sent to it: the server is
// known, and neither leaving nor paused.
func (fl *Fleet) Accepts(id string, now time.Time) bool {
	me := fl.members[id]
	return me != nil && !me.leaving() && !me.paused(now)
}

// Leaving reports whether a server is unknown or leaving.
func (fl *Fleet) Leaving(id string) bool {
	me := fl.members[id]
	return me == nil || me.leaving()
}

// TakesAgainAt returns the earliest time at which a server that could take a request, but for a pause or its
// limit, takes one again. It returns false if there is none.
func (fl *Fleet) TakesAgainAt(rq Request, now time.Time) (time.Time, bool) {
	earliest := time.Time{}
	for _, me := range compatible(fl.services[rq.Service], &rq) {
		if me.leaving() || me.takesNow(now) {
			continue
		}
		next := me.pausedUntil
		if allowed := me.limit.allowedAt(now); me.limit.active() && allowed.After(next) {
			next = allowed
		}
		if earliest.IsZero() || next.Before(earliest) {
			earliest = next
		}
	}
	return earliest, !earliest.IsZero()
}
