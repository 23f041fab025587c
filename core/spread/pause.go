package spread

import "time"

// removedPausesMax is the number of pauses of removed servers that are kept.
const removedPausesMax = 1024

// pause is the time in which a run of a server wants no requests from this node.
type pause struct {
	// born is the start time of the run in Unix milliseconds, zero if it is not known.
	born  int64
	until time.Time
}

// ofRun returns the pause for a run of the server: a run that is known to be another one has asked for none.
func (pa pause) ofRun(born int64) pause {
	if pa.born != 0 && born != 0 && pa.born != born {
		return pause{born: born}
	}
	pa.born = max(pa.born, born)
	return pa
}

// keepPause keeps the pause of a server that is removed: its record may only have lapsed. Beyond
// removedPausesMax, the pause that ends first is forgotten.
func (fl *Fleet) keepPause(id string, pa pause) {
	if pa.until.IsZero() {
		return
	}
	if fl.pauses == nil {
		fl.pauses = map[string]pause{}
	}
	fl.pauses[id] = pa
	if len(fl.pauses) <= removedPausesMax {
		return
	}
	first := id
	for other, pa := range fl.pauses {
		if pa.until.Before(fl.pauses[first].until) {
			first = other
		}
	}
	delete(fl.pauses, first)
}

// PauseAsked records that a server wants no requests from this node until a time. A shorter pause than
// one that is under way changes nothing. It reports whether the end of the pause has changed.
func (fl *Fleet) PauseAsked(id string, until time.Time) bool {
	me := fl.members[id]
	if me == nil || !until.After(me.pause.until) {
		return false
	}
	me.pause.until = until
	return true
}

// paused reports whether the server wants no requests from this node.
func (me *member) paused(now time.Time) bool { return now.Before(me.pause.until) }

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
		next := me.pause.until
		if allowed := me.limit.allowedAt(now); me.limit.active() && allowed.After(next) {
			next = allowed
		}
		if earliest.IsZero() || next.Before(earliest) {
			earliest = next
		}
	}
	return earliest, !earliest.IsZero()
}
