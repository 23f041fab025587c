package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/conf"
)

// HoldState is the state of an adapter on a runner as last reported.
type HoldState int

// States of a hold.
const (
	Ready HoldState = iota
	Loading
)

// Hold is an adapter version that a runner holds or loads.
type Hold struct {
	Adapter conf.AdapterVersion
	State   HoldState
	Pins    int
}

// Use is what a runner has counted since its boot.
type Use struct {
	LoadStall time.Duration
	Filled    time.Duration
	Offered   time.Duration
	Loads     int64
}

// Runner is what an entry node knows of a backend server.
type Runner struct {
	Name     string
	Boot     string
	Zone     string
	Region   string
	Model    string
	Services []string
	Slots    int
	Places   int
	Leaving  bool
	// Reported counts requests running or waiting in the last report.
	Reported int
	// Unseen counts dispatches that the last report had not received.
	Unseen int
	Holds  []Hold
	Use    Use
	// Connected is when the runner was connected, for slow start.
	Connected time.Time
}

// Load returns the number of requests believed to be at the runner.
func (ru *Runner) Load() int {
	return ru.Reported + ru.Unseen
}

// member is a runner with the entry node's own experience of it.
type member struct {
	Runner
	hash         uint64
	failures     int
	ejectedUntil time.Time
}

// Policy is how a runner is chosen.
type Policy string

// Policies. All but the first are baselines that measurements compare with.
const (
	CheapestPolicy    Policy = ""
	RandomPolicy      Policy = "random"
	LeastLoadedPolicy Policy = "least_loaded"
	HashedPolicy      Policy = "hashed"
)

// Fleet holds the runners an entry node can reach; its zero value is empty.
type Fleet struct {
	// Policy is how a runner is chosen.
	Policy Policy
	// turn counts random choices, so that they can be repeated.
	turn    uint64
	members map[string]*member
	// rings holds the points of the runners of each base model in the order of their hashes.
	rings    map[string][]point
	services map[string][]*member
	holders  map[conf.AdapterVersion][]*member
}

// Put adds a runner or replaces what is known of it.
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
		fl.join(me)
	} else {
		fl.dropHolds(me)
	}
	me.Runner = ru
	for _, ho := range me.Holds {
		fl.holders[ho.Adapter] = insert(fl.holders[ho.Adapter], me)
	}
}

// Remove forgets a runner.
func (fl *Fleet) Remove(name string) {
	if me := fl.members[name]; me != nil {
		fl.dropHolds(me)
		fl.leave(me)
		delete(fl.members, name)
	}
}

// Runner returns what is known of a runner.
func (fl *Fleet) Runner(name string) (Runner, bool) {
	if me := fl.members[name]; me != nil {
		return me.Runner, true
	}
	return Runner{}, false
}

// Names lists the runners in order.
func (fl *Fleet) Names() []string {
	names := make([]string, 0, len(fl.members))
	for name := range fl.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AddUnseen adjusts the number of dispatches that the last report had not received.
func (fl *Fleet) AddUnseen(name string, delta int) {
	if me := fl.members[name]; me != nil {
		me.Unseen = max(0, me.Unseen+delta)
	}
}

// join enters a runner into the lookups by base model and service.
func (fl *Fleet) join(me *member) {
	if me.Model != "" {
		fl.rings[me.Model] = place(fl.rings[me.Model], me)
	}
	for _, service := range me.Services {
		fl.services[service] = insert(fl.services[service], me)
	}
}

// leave takes a runner out of the lookups by base model and service.
func (fl *Fleet) leave(me *member) {
	fl.rings[me.Model] = slices.DeleteFunc(fl.rings[me.Model], func(po point) bool { return po.me == me })
	for _, service := range me.Services {
		fl.services[service] = without(fl.services[service], me)
	}
}

// dropHolds takes a runner out of the lookup by adapter.
func (fl *Fleet) dropHolds(me *member) {
	for _, ho := range me.Holds {
		list := without(fl.holders[ho.Adapter], me)
		if len(list) == 0 {
			delete(fl.holders, ho.Adapter)
			continue
		}
		fl.holders[ho.Adapter] = list
	}
}

// insert keeps a list ordered by name, so that ties are broken the same way on every run.
func insert(list []*member, me *member) []*member {
	ix, found := slices.BinarySearchFunc(list, me.Name, func(el *member, name string) int { return cmp.Compare(el.Name, name) })
	if found {
		return list
	}
	return slices.Insert(list, ix, me)
}

// point is one place of a runner on the ring of a base model.
type point struct {
	hash uint64
	me   *member
}

// place puts a runner's points on a ring.
func place(ring []point, me *member) []point {
	for number := range uint64(pointsEach) {
		hash := mix(me.hash + number*probeStep)
		ring = slices.Insert(ring, firstFrom(ring, hash), point{hash: hash, me: me})
	}
	return ring
}

// firstFrom returns the index of the first point whose hash is at least a value.
func firstFrom(ring []point, hash uint64) int {
	ix, _ := slices.BinarySearchFunc(ring, hash, func(po point, target uint64) int { return cmp.Compare(po.hash, target) })
	return ix
}

// without removes a runner from a list.
func without(list []*member, me *member) []*member {
	if ix := slices.Index(list, me); ix >= 0 {
		return slices.Delete(list, ix, ix+1)
	}
	return list
}
