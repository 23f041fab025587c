package origin

import "time"

// generationMax is the number of records in one of the two generations of a table.
const generationMax = 8192

// entry is an origin with the time until which it is kept.
type entry struct {
	Origin
	until time.Time
}

// Table holds the origins of streams. It keeps two generations of records: the older one is dropped when the
// newer one is full or RetentionMax old. The zero value is empty.
type Table struct {
	newer, older map[StreamKey]entry
	// startedAt is when the newer generation began.
	startedAt time.Time
}

// Put stores the origin of a stream until a time.
func (ta *Table) Put(key StreamKey, or Origin, until, now time.Time) {
	if ta.newer == nil || len(ta.newer) >= generationMax || now.Sub(ta.startedAt) >= RetentionMax {
		ta.newer, ta.older, ta.startedAt = map[StreamKey]entry{}, ta.newer, now
	}
	if latest := now.Add(RetentionMax); until.After(latest) {
		until = latest
	}
	delete(ta.older, key)
	ta.newer[key] = entry{Origin: or, until: until}
}

// Get returns the origin of a stream.
func (ta *Table) Get(key StreamKey, now time.Time) (Origin, bool) {
	for _, generation := range [...]map[StreamKey]entry{ta.newer, ta.older} {
		if en, ok := generation[key]; ok && now.Before(en.until) {
			return en.Origin, true
		}
	}
	return Origin{}, false
}

// Each calls a function for each stream of a service that is not expired, with the time for which its origin
// is still kept.
func (ta *Table) Each(service string, now time.Time, fn func(key StreamKey, or Origin, left time.Duration)) {
	for _, generation := range [...]map[StreamKey]entry{ta.newer, ta.older} {
		for key, en := range generation {
			if en.Service == service && now.Before(en.until) {
				fn(key, en.Origin, en.until.Sub(now))
			}
		}
	}
}

// Len returns the number of records, expired ones included.
func (ta *Table) Len() int { return len(ta.newer) + len(ta.older) }
