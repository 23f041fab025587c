package roster

import "time"

// maxRemovals is the number of removals that are remembered. Records arrive late by seconds, in which
// far fewer servers are removed.
const maxRemovals = 4096

// removal is the removal of a server's record.
type removal struct {
	position Position
	// born is the start of the run that was removed, zero if it is not known; leaving is true if that
	// run was leaving.
	born    int64
	leaving bool
}

// Remove handles the removal of a server's record at the given position. The server is dropped now,
// or by a later Expire if the log is or was recently unreadable.
func (ro *Roster) Remove(id string, at Position, now time.Time) {
	ts := ro.servers[id]
	if ts == nil {
		ro.recordRemoval(id, removal{position: at})
		return
	}
	if at.Before(ts.position) {
		return
	}
	ts.position = at
	if ts.missingSince.IsZero() {
		ts.missingSince = now
	}
	ro.recordRemoval(id, removal{position: at, born: ts.Born, leaving: ts.Leaving})
	ro.Expire(now)
}

// recordRemoval remembers a removal, and forgets the oldest one beyond maxRemovals.
func (ro *Roster) recordRemoval(id string, re removal) {
	if ro.removals == nil {
		ro.removals = map[string]removal{}
	}
	if earlier := ro.removals[id]; re.position.Before(earlier.position) {
		return
	}
	ro.removals[id] = re
	if len(ro.removals) <= maxRemovals {
		return
	}
	oldest := id
	for other, re := range ro.removals {
		first := ro.removals[oldest].position
		if re.position.Before(first) || re.position == first && other < oldest {
			oldest = other
		}
	}
	delete(ro.removals, oldest)
}

// ApplyListing handles a listing of all server records in the log that ends at the given position.
// Servers whose ID is not in present are handled like removed ones.
func (ro *Roster) ApplyListing(present map[string]bool, end Position, now time.Time) {
	for _, id := range ro.ids() {
		if !present[id] {
			ro.Remove(id, end, now)
		}
	}
}

// RemoveReplaced drops a server at once, because the caller found another one at its address, and reports whether it was
// known. Unlike Remove, it remembers no removal, so an older record can add the server again.
func (ro *Roster) RemoveReplaced(id string) bool {
	_, known := ro.servers[id]
	delete(ro.servers, id)
	return known
}
