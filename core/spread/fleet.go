package spread

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/grant"
)

// AdapterSlot is an adapter that is loaded or being loaded into a slot of an engine.
type AdapterSlot struct {
	Adapter string
	Version int
	Ready   bool
	// Users is the number of requests that run with the adapter or wait for it.
	Users int
}

// Load is the load of an engine in its agent's last report.
type Load struct {
	grant.Load
	// ReportedAt is when the report arrived.
	ReportedAt time.Time
}

// Server is a backend server as described by its stored record.
type Server struct {
	ID      string
	Service string
	Zone    string
	Region  string
	// Software is the version of the server's software, empty if it is not known.
	Software string
	// Born is the start time of the server's process in Unix milliseconds; it tells restarts apart.
	Born int64
	// Places is the number of requests that the server runs concurrently.
	Places int
	// Leaving is true while the server drains according to its record, which is independent of
	// what the agent reports of itself and of the engine in Load.
	Leaving bool
	// Engine is true for a model engine, false for a plain service.
	Engine bool
	// Model and AdapterSlots are used while the agent is unavailable, AdapterSlots only if it has
	// reported no adapters since the engine started.
	Model        string
	AdapterSlots []AdapterSlot
}

// member is a backend server with the load, latency and failures that this entry node has seen.
type member struct {
	Server
	demands
	hash uint64
	load Load
	// answeredRun is the start of the run that the server itself has named, zero if it was not asked.
	answeredRun int64
	// agentAvailable is true while the agent reports and gives grants.
	agentAvailable bool
	// resident holds the adapters that are loaded or being loaded, as the agent last reported them.
	resident []AdapterSlot
	// hostCache holds the adapters that should still be in the cache of the engine's host.
	hostCache hostCache
	// inFlight is the number of requests that this node has in flight at the server.
	inFlight int
	// addedPrefillTime is the time to prefill the prompts sent since the agent's last report.
	addedPrefillTime time.Duration
	// lastSeen is when the server or its agent last sent anything.
	lastSeen time.Time
	// askedAt is when the server was last asked for a sign of life.
	askedAt time.Time
	// silenceBackoffUntil is how long a silent server is avoided, unless it sends something earlier.
	silenceBackoffUntil time.Time
	// latencyRatio is the moving average of the measured over the expected time to the first byte.
	latencyRatio float64
	// ratedSlowness is the reported slowness that latencyRatio applies to, zero for none.
	ratedSlowness float64
	// relativelySlow is true while the engine counts as much slower than the others of its service.
	relativelySlow bool
	// class is the capacity class by the reported prefill rate.
	class capacityClass
	// failureShare is the moving average of failures, from 0 to 1.
	failureShare        float64
	consecutiveFailures int
	failureBackoffUntil time.Time
}

// Fleet is an entry node's view of the backend servers; its zero value is empty.
type Fleet struct {
	members map[string]*member
	// services holds the servers of each service, sorted by ID.
	services map[string][]*member
	// nodes is the number of entry nodes that share the limits of servers.
	nodes int
	// removed holds what the servers that were removed have asked for, by server ID.
	removed map[string]demands
	// references holds the reference rates of services.
	references map[string]referenceRate
}

// Put adds a server or replaces its record.
func (fl *Fleet) Put(se Server) {
	if fl.members == nil {
		fl.members = map[string]*member{}
		fl.services = map[string][]*member{}
	}
	me := fl.members[se.ID]
	if me != nil && me.Service != se.Service {
		fl.Remove(se.ID)
		me = nil
	}
	if me == nil {
		me = &member{hash: xxh3.HashString(se.ID), latencyRatio: 1, demands: fl.removed[se.ID]}
		delete(fl.removed, se.ID)
		fl.members[se.ID] = me
		group := fl.services[se.Service]
		ix, _ := slices.BinarySearchFunc(group, se.ID, func(el *member, id string) int { return strings.Compare(el.ID, id) })
		fl.services[se.Service] = slices.Insert(group, ix, me)
	}
	me.demands = me.ofRun(se.Born)
	if se.Born != me.Born {
		me.answeredRun = 0
	}
	me.Server = se
}

// Remove removes a server.
func (fl *Fleet) Remove(id string) {
	me := fl.members[id]
	if me == nil {
		return
	}
	fl.keepDemands(id, me.demands)
	delete(fl.members, id)
	fl.services[me.Service] = slices.DeleteFunc(fl.services[me.Service], func(other *member) bool { return other == me })
}

// RemoveExcept removes all servers whose IDs are not in the set.
func (fl *Fleet) RemoveExcept(ids map[string]bool) {
	for id := range fl.members {
		if !ids[id] {
			fl.Remove(id)
		}
	}
}

// Server returns the record of a server.
func (fl *Fleet) Server(id string) (Server, bool) {
	if me := fl.members[id]; me != nil {
		return me.Server, true
	}
	return Server{}, false
}

// RunStart returns when a server's present run started, in Unix milliseconds: the latest of what its record, its
// agent and itself say, zero if none does.
func (fl *Fleet) RunStart(id string) int64 {
	me := fl.members[id]
	if me == nil {
		return 0
	}
	return max(me.Born, me.load.Born, me.answeredRun)
}

// AgentReported applies an agent's report on its engine; resident is nil if the report
// contains only the load.
func (fl *Fleet) AgentReported(id string, lo Load, resident []AdapterSlot) {
	me := fl.members[id]
	if me == nil {
		return
	}
	if lo.Born != me.load.Born {
		// The engine has restarted and has none of the adapters from before.
		me.hostCache, me.resident = hostCache{}, nil
	}
	// An agent that shuts down gives no grants, but its engine continues to serve.
	lo, me.relativelySlow = fl.withRelativeSpeed(me, lo)
	me.load, me.agentAvailable, me.addedPrefillTime = lo, !lo.Leaving, 0
	me.applySpeed()
	me.markSeen(lo.ReportedAt)
	if resident == nil {
		return
	}
	me.resident = resident
	for ix := range resident {
		if resident[ix].Ready {
			me.hostCache.add(resident[ix].Adapter, resident[ix].Version)
		}
	}
}

// AgentLost records that the agent can't be reached; its last report remains in use.
func (fl *Fleet) AgentLost(id string) {
	if me := fl.members[id]; me != nil {
		me.agentAvailable = false
	}
}

// AgentRegained records that an unavailable agent answers again.
func (fl *Fleet) AgentRegained(id string) {
	if me := fl.members[id]; me != nil && !me.load.ReportedAt.IsZero() {
		me.agentAvailable = true
	}
}

// Sent counts a request sent to a server and the time to prefill its prompt.
func (fl *Fleet) Sent(id string, promptTokens int, now time.Time) {
	if me := fl.members[id]; me != nil {
		if me.inFlight == 0 {
			// No other request is in flight, so the wait for a sign of life begins now.
			me.lastSeen = now
		}
		me.inFlight++
		me.addedPrefillTime += me.load.prefillTime(promptTokens)
	}
}

// AdapterMissing records that an engine does not have an adapter that it was believed to have.
func (fl *Fleet) AdapterMissing(id, adapter string) {
	me := fl.members[id]
	if me == nil {
		return
	}
	isAdapter := func(sl AdapterSlot) bool { return sl.Adapter == adapter }
	me.resident = slices.DeleteFunc(slices.Clone(me.resident), isAdapter)
	me.AdapterSlots = slices.DeleteFunc(slices.Clone(me.AdapterSlots), isAdapter)
}

// Done records that a request to a server has ended.
func (fl *Fleet) Done(id string) {
	if me := fl.members[id]; me != nil && me.inFlight > 0 {
		me.inFlight--
	}
}
