package roster

import "time"

// MaxRewriteDelay is the time after the log's return within which every backend server that
// is alive has written its record again. The platform promises about two seconds.
const MaxRewriteDelay = 2300 * time.Millisecond

// MarkRestored records that the log has come back from an older copy, whose first listing ends at the
// given position. Servers that are missing in it have MaxRewriteDelay to write their records again.
func (ro *Roster) MarkRestored(end Position, now time.Time) {
	ro.copyEnd = end
	ro.logUnreadable, ro.logBackAt = false, now
}

// MarkLogUnreadable records that a read of the log failed.
func (ro *Roster) MarkLogUnreadable() { ro.logUnreadable = true }

// MarkLogReadable records that a read of the log succeeded.
func (ro *Roster) MarkLogReadable(now time.Time) {
	if ro.logUnreadable {
		ro.logUnreadable = false
		ro.logBackAt = now
	}
}

// MarkUnreadable records that the record of a server, written at the given position, names no server that can be
// used: another writer has left it there. A server that is alive writes its own one again within MaxRewriteDelay. It
// reports whether the server is known and had a record of its own until now.
func (ro *Roster) MarkUnreadable(id string, at Position, now time.Time) bool {
	ts := ro.servers[id]
	if ts == nil || at.Before(ts.position) {
		return false
	}
	ts.position = at
	first := ts.unreadableSince.IsZero()
	if first {
		ts.unreadableSince = now
	}
	return first
}

// Expire drops the servers whose records are gone or cannot be read, unless the log is unreadable or its last
// outage ended less than MaxRewriteDelay ago.
func (ro *Roster) Expire(now time.Time) {
	if !ro.missingMeansGone(now) {
		return
	}
	for id, ts := range ro.servers {
		overwritten := !ts.unreadableSince.IsZero() && now.Sub(ts.unreadableSince) >= MaxRewriteDelay
		if !ts.missingSince.IsZero() || overwritten {
			delete(ro.servers, id)
		}
	}
}

// missingMeansGone reports whether a server without a record can be taken to be gone: the
// log is readable and its last outage ended at least MaxRewriteDelay ago.
func (ro *Roster) missingMeansGone(now time.Time) bool {
	return !ro.logUnreadable && (ro.logBackAt.IsZero() || now.Sub(ro.logBackAt) >= MaxRewriteDelay)
}
