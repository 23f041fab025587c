package paths

import "slices"

// services returns the services that a route leads to, sorted.
func (ro *Route) services() []string {
	list := make([]string, 0, len(ro.Splits))
	for _, sp := range ro.Splits {
		list = append(list, sp.Service)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// SharedServices returns the sets of two services or more that a route of resumable streams leads to, each set once and
// sorted.
func (ta *Table) SharedServices() [][]string {
	sets := [][]string(nil)
	for ix := range ta.Routes {
		if ro := &ta.Routes[ix]; ro.Kind == Stream && ro.Resumable && len(ro.Splits) > 1 {
			sets = addSet(sets, ro.services())
		}
	}
	return sets
}

// MovedServices returns, for each route of resumable streams that leads to other services than in an earlier table, the
// services of both, each set once and sorted.
func (ta *Table) MovedServices(earlier *Table) [][]string {
	before := map[string][]string{}
	for ix := range earlier.Routes {
		if ro := &earlier.Routes[ix]; ro.Kind == Stream && ro.Resumable {
			before[ro.Name] = ro.services()
		}
	}
	sets := [][]string(nil)
	for ix := range ta.Routes {
		ro := &ta.Routes[ix]
		old, now := before[ro.Name], ro.services()
		if len(old) > 0 && ro.Kind == Stream && !slices.Equal(old, now) {
			both := slices.Concat(old, now)
			slices.Sort(both)
			sets = addSet(sets, slices.Compact(both))
		}
	}
	return sets
}

// addSet adds a set to others unless it is one of them or has less than two services.
func addSet(sets [][]string, set []string) [][]string {
	if len(set) < 2 || slices.ContainsFunc(sets, func(other []string) bool { return slices.Equal(other, set) }) {
		return sets
	}
	return append(sets, set)
}
