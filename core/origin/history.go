package origin

import (
	"maps"
	"slices"
	"time"
)

// versionsMax is the number of software versions of one service that are remembered. More only make streams
// whose origin is unknown undecided, as two do.
const versionsMax = 16

// History holds the software versions that servers of each service ran lately. The zero value is empty.
type History struct {
	// lastSeen holds the time at which each version of each service was last listed.
	lastSeen map[string]map[string]time.Time
	// knownFrom holds the time from which on all versions of a service are known.
	knownFrom map[string]time.Time
}

// Listed records that a server of a service runs a software version now, empty if it states none. It reports
// whether the service had no server of that version until now.
func (hi *History) Listed(service, software string, now time.Time) bool {
	return hi.Seen(service, software, now, now)
}

// Seen records that a server of a service ran a software version at a time. It reports whether no server of that
// version was known.
func (hi *History) Seen(service, software string, at, now time.Time) bool {
	if now.Sub(at) >= RetentionMax {
		return false
	}
	if hi.lastSeen == nil {
		hi.lastSeen = map[string]map[string]time.Time{}
	}
	seen := hi.lastSeen[service]
	if seen == nil {
		seen = map[string]time.Time{}
		hi.lastSeen[service] = seen
	}
	if before, ok := seen[software]; !ok || now.Sub(before) >= RetentionMax {
		hi.forget(seen, now)
	}
	before, known := seen[software]
	if known && !before.Before(at) || !known && len(seen) >= versionsMax {
		return false
	}
	seen[software] = at
	return !known
}

// Known records that all versions that servers of a service ran from a time on are known.
func (hi *History) Known(service string, from time.Time) {
	if hi.knownFrom == nil {
		hi.knownFrom = map[string]time.Time{}
	}
	if before, ok := hi.knownFrom[service]; !ok || from.Before(before) {
		hi.knownFrom[service] = from
	}
}

// KnownFor returns for how long up to now all versions of a service are known, at most RetentionMax.
func (hi *History) KnownFor(service string, now time.Time) time.Duration {
	from, ok := hi.knownFrom[service]
	if !ok {
		return 0
	}
	return min(RetentionMax, now.Sub(from))
}

// LastSeen returns the time since each version of a service was last listed.
func (hi *History) LastSeen(service string, now time.Time) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for software, at := range hi.lastSeen[service] {
		if age := now.Sub(at); age < RetentionMax {
			ages[software] = max(0, age)
		}
	}
	return ages
}

// forget removes the versions that no stream can have begun with.
func (hi *History) forget(seen map[string]time.Time, now time.Time) {
	maps.DeleteFunc(seen, func(_ string, at time.Time) bool { return now.Sub(at) >= RetentionMax })
}

// Versions returns the software versions with which a stream of a service may have begun, sorted.
func (hi *History) Versions(service string, now time.Time) []string {
	versions := []string(nil)
	for software, at := range hi.lastSeen[service] {
		if now.Sub(at) < RetentionMax {
			versions = append(versions, software)
		}
	}
	slices.Sort(versions)
	return versions
}

// States reports whether a server of a service has stated a software version lately.
func (hi *History) States(service string, now time.Time) bool {
	for software, at := range hi.lastSeen[service] {
		if software != "" && now.Sub(at) < RetentionMax {
			return true
		}
	}
	return false
}
