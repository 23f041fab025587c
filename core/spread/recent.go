package spread

import (
	"slices"

	"github.com/bambooladder/bambooladder/core/grant"
)

// version is an adapter version.
type version struct {
	adapter string
	number  int
}

// recent lists the adapter versions that an engine held, the latest last.
type recent struct {
	list []version
}

// add puts an adapter version last.
func (re *recent) add(adapter string, number int) {
	ve := version{adapter: adapter, number: number}
	if ix := slices.Index(re.list, ve); ix >= 0 {
		re.list = slices.Delete(re.list, ix, ix+1)
	}
	re.list = append(re.list, ve)
	if len(re.list) > grant.RecentMax {
		re.list = slices.Delete(re.list, 0, len(re.list)-grant.RecentMax)
	}
}

// has tells whether a version of at least a number is listed.
func (re *recent) has(adapter string, least int) bool {
	return slices.ContainsFunc(re.list, func(ve version) bool { return ve.adapter == adapter && ve.number >= least })
}
