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
}

// Listed records that a server of a service runs a software version, empty if it states none. It returns true
// if the service had exactly one version until now, and this is a second one.
func (hi *History) Listed(service, software string, now time.Time) bool {
	if hi.lastSeen == nil {
		hi.lastSeen = map[string]map[string]time.Time{}
	}
	seen := hi.lastSeen[service]
	if seen == nil {
		seen = map[string]time.Time{}
		hi.lastSeen[service] = seen
	}
	if at, ok := seen[software]; !ok || now.Sub(at) >= RetentionMax {
		hi.forget(seen, now)
	}
	_, known := seen[software]
	if known || len(seen) < versionsMax {
		seen[software] = now
	}
	return !known && len(seen) == 2
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

// Mixed reports whether streams of a service may have begun with different software versions.
func (hi *History) Mixed(service string, now time.Time) bool {
	seen := hi.lastSeen[service]
	return len(seen) > 1 && len(hi.Versions(service, now)) > 1
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
