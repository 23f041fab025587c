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

// Of returns the services of which one may have begun a stream that is taken up at a service, itself included, sorted.
func (gr Groups) Of(service string, now time.Time) []string {
	list := []string{service}
	for _, set := range gr.current {
		list = appendGroup(list, set, service)
	}
	for _, fg := range gr.former {
		if now.Sub(fg.until) < RetentionMax {
			list = appendGroup(list, fg.services, service)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// appendGroup appends a set of services if it contains a service.
func appendGroup(list, set []string, service string) []string {
	if !slices.Contains(set, service) {
		return list
	}
	return append(list, set...)
}
