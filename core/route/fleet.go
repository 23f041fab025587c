package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/conf"
)

// SlotState is the state of the adapter in a slot as last reported.
type SlotState int

// States of an adapter in a slot.
const (
	Ready SlotState = iota
	Loading
)

// AdapterSlot is an adapter version that is loaded or being loaded into a slot of a runner.
type AdapterSlot struct {
	Adapter conf.AdapterVersion
	State   SlotState
	// Pins is the number of requests that run with the adapter or wait for it.
	Pins int
}

// Usage contains a runner's counters since its agent started.
type Usage struct {
	// LoadStall is the time that requests have waited for adapters to load.
	LoadStall time.Duration
	// BatchFilled is the time that batch places were in use, summed over the places.
	BatchFilled time.Duration
	// BatchOffered is the time of all batch places while there was work, summed over the places.
	BatchOffered time.Duration
	// Loads is the number of adapter loads.
	Loads int64
}

// Runner is a backend server as last reported by its agent; core/spread calls it a server.
type Runner struct {
	Name string
	// Boot identifies the run of the agent; it changes with each start.
	Boot     string
	Zone     string
	Region   string
	Model    string
	Services []string
	// Slots is the number of adapters that can be loaded at a time.
	Slots int
	// Places is the number of requests that run in one batch.
	Places  int
	Leaving bool
	// ReportedRequests is the number of requests that ran or waited in the last report.
	ReportedRequests int
	// UnreportedRequests is the number of dispatched requests that the last report did not include.
	UnreportedRequests int
	AdapterSlots       []AdapterSlot
	Usage              Usage
	// ConnectedAt is when the connection to the runner was made; slow start counts from there.
	ConnectedAt time.Time
}

// Load returns the number of requests expected to be at the runner.
func (ru *Runner) Load() int {
	return ru.ReportedRequests + ru.UnreportedRequests
}

// member is a runner with the failures that this entry node has seen.
type member struct {
	Runner
	hash                uint64
	consecutiveFailures int
	ejectedUntil        time.Time
}

// Policy is the method by which a runner is chosen for an adapter.
type Policy string

// Policies. All but CheapestPolicy are baselines for measurements.
const (
	CheapestPolicy    Policy = ""
	RandomPolicy      Policy = "random"
	LeastLoadedPolicy Policy = "least_loaded"
	HashedPolicy      Policy = "hashed"
)

// Fleet holds the runners that an entry node can reach; its zero value is empty.
type Fleet struct {
	// Policy is the method by which a runner is chosen for an adapter.
	Policy Policy
	// baselineChoices counts the choices of the random and the least-loaded policy. It seeds the
	// random one, so that a measurement can be repeated.
	baselineChoices uint64
	members         map[string]*member
	// rings holds, for each base model, the points of its runners in the order of their hashes.
	rings    map[string][]point
	services map[string][]*member
	// holders holds, for each adapter version, the runners that have it loaded or are loading it.
	holders map[conf.AdapterVersion][]*member
}

// Put adds a runner or replaces its last report.
func (fl *Fleet) Put(ru Runner) {
	if fl.members == nil {
		fl.members = map[string]*member{}
		fl.rings = map[string][]point{}
		fl.services = map[string][]*member{}
		fl.holders = map[conf.AdapterVersion][]*member{}
	}
	me := fl.members[ru.Name]
	if me != nil && (me.Model != ru.Model || !slices.Equal(me.Services, ru.Services)) {
		fl.Remove(ru.Name)
		me = nil
	}
	if me == nil {
		me = &member{Runner: ru, hash: xxh3.HashString(ru.Name)}
		fl.members[ru.Name] = me
		fl.addToIndexes(me)
	} else {
		fl.removeFromHolders(me)
	}
	me.Runner = ru
	for _, sl := range me.AdapterSlots {
		fl.holders[sl.Adapter] = insertSorted(fl.holders[sl.Adapter], me)
	}
}

// Remove removes a runner.
func (fl *Fleet) Remove(name string) {
	if me := fl.members[name]; me != nil {
		fl.removeFromHolders(me)
		fl.removeFromIndexes(me)
		delete(fl.members, name)
	}
}

// Runner returns a runner as last reported.
func (fl *Fleet) Runner(name string) (Runner, bool) {
	if me := fl.members[name]; me != nil {
		return me.Runner, true
	}
	return Runner{}, false
}

// Names returns the names of all runners in sorted order.
func (fl *Fleet) Names() []string {
	names := make([]string, 0, len(fl.members))
	for name := range fl.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AddUnreported adjusts the number of dispatched requests that the last report did not include.
func (fl *Fleet) AddUnreported(name string, delta int) {
	if me := fl.members[name]; me != nil {
		me.UnreportedRequests = max(0, me.UnreportedRequests+delta)
	}
}

// addToIndexes adds a runner to the indexes by base model and by service.
func (fl *Fleet) addToIndexes(me *member) {
	if me.Model != "" {
		fl.rings[me.Model] = addPoints(fl.rings[me.Model], me)
	}
	for _, service := range me.Services {
		fl.services[service] = insertSorted(fl.services[service], me)
	}
}

// removeFromIndexes removes a runner from the indexes by base model and by service.
func (fl *Fleet) removeFromIndexes(me *member) {
	fl.rings[me.Model] = slices.DeleteFunc(fl.rings[me.Model], func(po point) bool { return po.me == me })
	for _, service := range me.Services {
		fl.services[service] = removeMember(fl.services[service], me)
	}
}

// removeFromHolders removes a runner from the index by adapter.
func (fl *Fleet) removeFromHolders(me *member) {
	for _, sl := range me.AdapterSlots {
		list := removeMember(fl.holders[sl.Adapter], me)
		if len(list) == 0 {
			delete(fl.holders, sl.Adapter)
			continue
		}
		fl.holders[sl.Adapter] = list
	}
}

// insertSorted keeps a list sorted by name, so that ties are broken the same way on every run.
func insertSorted(list []*member, me *member) []*member {
	ix, found := slices.BinarySearchFunc(list, me.Name, func(el *member, name string) int { return cmp.Compare(el.Name, name) })
	if found {
		return list
	}
	return slices.Insert(list, ix, me)
}

// point is one of the points of a runner on the hash ring of a base model.
type point struct {
	hash uint64
	me   *member
}

// addPoints adds a runner's points to a hash ring.
func addPoints(ring []point, me *member) []point {
	for index := range uint64(pointsPerRunner) {
		hash := mixBits(me.hash + index*hashStep)
		ring = slices.Insert(ring, firstPointFrom(ring, hash), point{hash: hash, me: me})
	}
	return ring
}

// firstPointFrom returns the index of the first point whose hash is at least the given one.
func firstPointFrom(ring []point, hash uint64) int {
	ix, _ := slices.BinarySearchFunc(ring, hash, func(po point, target uint64) int { return cmp.Compare(po.hash, target) })
	return ix
}

// removeMember removes a runner from a list.
func removeMember(list []*member, me *member) []*member {
	if ix := slices.Index(list, me); ix >= 0 {
		return slices.Delete(list, ix, ix+1)
	}
	return list
}
