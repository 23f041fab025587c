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

// Expire drops the servers whose records are gone, unless the log is unreadable or its last
// outage ended less than MaxRewriteDelay ago.
func (ro *Roster) Expire(now time.Time) {
	for id, ts := range ro.servers {
		if !ts.missingSince.IsZero() && ro.missingMeansGone(now) {
			delete(ro.servers, id)
		}
	}
}

// missingMeansGone reports whether a server without a record can be taken to be gone: the
// log is readable and its last outage ended at least MaxRewriteDelay ago.
func (ro *Roster) missingMeansGone(now time.Time) bool {
	return !ro.logUnreadable && (ro.logBackAt.IsZero() || now.Sub(ro.logBackAt) >= MaxRewriteDelay)
}
