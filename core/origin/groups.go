package origin

import (
	"slices"
	"time"
)

// Groups holds which services the same routes lead to, or led to lately: a stream that a server of one of them began
// may be taken up by a request for another. The zero value has none.
type Groups struct {
	current [][]string
	former  []formerGroup
}

// formerGroup is a set of services that a route led to until a time.
type formerGroup struct {
	services []string
	until    time.Time
}

// WithRoutes returns the groups after the routes have changed at a time: the sets of services that routes lead to now, and
// the sets that routes led to before or have moved between.
func (gr Groups) WithRoutes(current, moved [][]string, now time.Time) Groups {
	former := slices.DeleteFunc(slices.Clone(gr.former), func(fg formerGroup) bool { return now.Sub(fg.until) >= RetentionMax })
	for _, set := range slices.Concat(gr.current, moved) {
		former = slices.DeleteFunc(former, func(fg formerGroup) bool { return slices.Equal(fg.services, set) })
		former = append(former, formerGroup{services: set, until: now})
	}
	return Groups{current: current, former: former}
}

// Of returns the services of which one may have begun a stream that is taken up at a service, itself included, sorted:
// those that a route leads to with it, and those that routes led to before, also by several changes.
func (gr Groups) Of(service string, now time.Time) []string {
	members := []string{service}
	for _, set := range gr.current {
		members = joinSet(members, set, []string{service})
	}
	for before := 0; before < len(members); {
		before = len(members)
		for _, fg := range gr.former {
			if now.Sub(fg.until) < RetentionMax {
				members = joinSet(members, fg.services, members)
			}
		}
	}
	slices.Sort(members)
	return members
}

// joinSet adds the services of a set to others if it contains one of some services.
func joinSet(members, set, some []string) []string {
	if !slices.ContainsFunc(set, func(service string) bool { return slices.Contains(some, service) }) {
		return members
	}
	for _, service := range set {
		if !slices.Contains(members, service) {
			members = append(members, service)
		}
	}
	return members
}
