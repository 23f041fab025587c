package roster

import (
	"slices"
	"strings"
	"time"
)

// ReturnMax is the time after the log's return in which a living backend server has
// written its record again; the platform promises about two seconds.
const ReturnMax = 2300 * time.Millisecond

// Adapter is an adapter version that an engine holds.
type Adapter struct {
	Name    string
	Version int
}

// Server is what a backend server last said of itself.
type Server struct {
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	Places  int
	Leaving bool
	// Born identifies the run: its start in Unix milliseconds, zero where it is not told.
	Born int64
	// Model is the base model of an engine, empty for none.
	Model    string
	Adapters []Adapter
}

// entry is a server with the place of its record in the log.
type entry struct {
	Server
	offset int64
	// vanished is when the record was found missing, zero while it is there.
	vanished time.Time
}

// Roster is the belief of one entry node; its zero value knows no server.
type Roster struct {
	entries map[string]*entry
	// removed holds the offsets of removals, so that an older record does not bring a server back.
	removed map[string]int64
	// disturbed is true while the log cannot be read.
	disturbed bool
	// backAt is when the log could last be read again.
	backAt time.Time
}

// Put takes a server's record at an offset and tells whether it was news.
func (ro *Roster) Put(se Server, offset int64) bool {
	if ro.entries == nil {
		ro.entries = map[string]*entry{}
		ro.removed = map[string]int64{}
	}
	if offset < ro.removed[se.ID] {
		return false
	}
	en := ro.entries[se.ID]
	if en != nil && offset < en.offset {
		return false
	}
	if en != nil && en.Born == se.Born && en.Leaving {
		// A run that has said it leaves does not come back.
		se.Leaving = true
	}
	ro.entries[se.ID] = &entry{Server: se, offset: offset}
	delete(ro.removed, se.ID)
	return true
}

// Remove takes the removal of a server's record at an offset.
func (ro *Roster) Remove(id string, offset int64, now time.Time) {
	en := ro.entries[id]
	if en == nil || offset < en.offset {
		return
	}
	en.offset = offset
	if en.vanished.IsZero() {
		en.vanished = now
	}
	ro.removed[id] = offset
	ro.Expire(now)
}

// Listed takes the identities of all records at an offset; servers that are missing have been removed.
func (ro *Roster) Listed(present map[string]bool, offset int64, now time.Time) {
	for _, id := range ro.ids() {
		if !present[id] {
			ro.Remove(id, offset, now)
		}
	}
}

// Disturbed records that the log could not be read.
func (ro *Roster) Disturbed() { ro.disturbed = true }

// Undisturbed records that the log was read.
func (ro *Roster) Undisturbed(now time.Time) {
	if ro.disturbed {
		ro.disturbed = false
		ro.backAt = now
	}
}

// Expire drops the servers whose records are missing for good.
func (ro *Roster) Expire(now time.Time) {
	for id, en := range ro.entries {
		if !en.vanished.IsZero() && ro.believed(now) {
			delete(ro.entries, id)
		}
	}
}

// believed tells whether a missing record means that its server is gone.
func (ro *Roster) believed(now time.Time) bool {
	return !ro.disturbed && (ro.backAt.IsZero() || now.Sub(ro.backAt) >= ReturnMax)
}

// Forget drops a server that another has replaced at its address.
func (ro *Roster) Forget(id string) { delete(ro.entries, id) }

// Servers returns the servers in the order of their identities.
func (ro *Roster) Servers() []Server {
	list := make([]Server, 0, len(ro.entries))
	for _, id := range ro.ids() {
		list = append(list, ro.entries[id].Server)
	}
	return list
}

// Record is a server with the offset of its record.
type Record struct {
	Server Server
	Offset int64
}

// Records returns the servers with their offsets, for a node that starts while the log is away.
func (ro *Roster) Records() []Record {
	list := make([]Record, 0, len(ro.entries))
	for _, id := range ro.ids() {
		en := ro.entries[id]
		list = append(list, Record{Server: en.Server, Offset: en.offset})
	}
	return list
}

// Len returns the number of servers.
func (ro *Roster) Len() int { return len(ro.entries) }

// ids returns the identities in order.
func (ro *Roster) ids() []string {
	ids := make([]string, 0, len(ro.entries))
	for id := range ro.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}
