package grant

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooladder/bambooladder/core/decay"
)

const (
	// loadsInFlightMax bounds the adapters that one engine loads at a time, from the weight store
	// or from its host's disk. Once the average completed load from the weight store takes longer
	// than slowLoadFactor times storeLoadTime, the store is overloaded by the engines together,
	// and each engine loads one adapter at a time.
	loadsInFlightMax = 3
	slowLoadFactor   = 1.5
	// loadTimeWeight is the weight of a new sample in the moving average of load times.
	loadTimeWeight = 0.25
	// agingStep is how long a request waits for its priority to grow by one level of urgency.
	agingStep = 2 * time.Second
	// queueMax bounds the requests that wait for one engine.
	queueMax = 512
	// popularityHalfLife is the half-life of a past request's weight in its adapter's
	// popularity.
	popularityHalfLife = 15 * time.Second
	// HostCacheMax is the number of adapters that the host of an engine caches on its disk.
	HostCacheMax = 36
	// lostOrderMax is how long the engine may still carry out an order that got no answer.
	lostOrderMax = 13 * time.Second
	// abandonAfter is how long a grant stays valid after its entry node has disconnected. It is
	// also the time after which a load counts as failed if the engine no longer reports it as in
	// flight but still has an older version of the adapter.
	abandonAfter = 10 * time.Second
	// evictionHoldoff is how long after its start an agent evicts nothing: entry nodes first
	// have to report the grants that an earlier run of the agent gave them.
	evictionHoldoff = 1500 * time.Millisecond

	// inspectInterval is the time between inspections while no adapter is loading.
	inspectInterval = 500 * time.Millisecond
	// loadingInspectInterval is the time between inspections while an adapter is loading.
	loadingInspectInterval = 25 * time.Millisecond
	// storeLoadTime is how long an adapter takes to load from an idle weight store. After this
	// time, a load counts as failed if the engine reports the adapter neither as loaded nor as
	// loading.
	storeLoadTime = 250 * time.Millisecond
	// cachedLoadTime is how long an adapter takes to load from the host's disk.
	cachedLoadTime = 25 * time.Millisecond
	// orderRetryDelay is the pause before the next order after one that was not accepted or got
	// no answer.
	orderRetryDelay = 50 * time.Millisecond
)

// Key identifies an adapter of a base model; an empty Adapter stands for the base model alone.
type Key struct {
	Model   string
	Adapter string
}

// Request is a request for which an entry node wants a grant.
type Request struct {
	Attempt string
	// Entry identifies the connection of the entry node that asked.
	Entry string
	Key   Key
	// Version is the newest adapter version announced, zero if none was.
	Version int
	// VersionMin is the oldest version that may still be used, while other granted requests use it, zero for any.
	VersionMin   int
	Urgency      int
	PromptTokens int
	OutputTokens int
	// BacklogMax is the backlog beyond which the request is refused at once, because its entry
	// node has a better choice; zero for no limit.
	BacklogMax time.Duration
	// PauseMax is the longest gap between the events of its stream that the caller tolerates,
	// zero for no bound.
	PauseMax time.Duration
	// Organisation is the organisation that sends the request, empty if the deployment has none.
	Organisation string
	// GoalAt is when the first event should have come, zero for no goal.
	GoalAt   time.Time
	Arrived  time.Time
	Deadline time.Time

	// share is that of the organisation, set while the request is queued or granted.
	share *share
	// expectedLate is true if the request is not expected to meet its goal because of those that are served before.
	expectedLate bool
}

// granted is a request whose grant was not released yet.
type granted struct {
	Request
	// disconnectedAt is when the connection of its entry node was lost, zero while it is up.
	disconnectedAt time.Time
}

// pendingLoad is an adapter that the engine is loading.
type pendingLoad struct {
	version int
	// fromStore is true if the adapter comes from the weight store and not from the host's
	// disk.
	fromStore bool
	startedAt time.Time
	// inspectAt is when the engine is inspected next to see whether the load has completed.
	inspectAt time.Time
}

// lostOrder is an order for an adapter load that got no answer and may still be carried out.
type lostOrder struct {
	Order
	lostAt time.Time
}

// Engine is what an agent knows about its engine, with the requests that are queued or granted.
type Engine struct {
	// observation is the engine's answer to the last inspection.
	observation Observation
	// reachable is true if the engine answered the last inspection.
	reachable bool
	startedAt time.Time

	loaded  map[Key]int
	loading map[Key]pendingLoad
	// retiring is an adapter that gets no grants because its slot is for another organisation's, the zero key if none does.
	retiring Key
	// reportedMissing holds adapters that the engine did not find when it got a request for
	// them. They get no grants until the next inspection.
	reportedMissing map[Key]bool
	// hostCache holds the adapters that the engine's host is assumed to have on its disk, the
	// most recently used last. The keys have no version, so a new version of a known adapter
	// counts as cached.
	hostCache  []Key
	popularity map[Key]decay.Count
	queue      []Request
	granted    map[string]*granted
	// pins holds the number of granted requests for each adapter, and reserved the KV cache tokens of all granted
	// requests.
	pins     map[Key]int
	reserved int
	// targetModel is the base model that entry nodes want the engine to serve.
	targetModel string
	// serverID is the server ID of the engine process that started at serverBorn.
	serverID   string
	serverBorn int64
	// slots is the number of adapters that the engine can hold at a time.
	slots int
	// nextModelOrderAt is the earliest time at which loading the base model is ordered again.
	nextModelOrderAt time.Time
	evictions        int
	loads            int
	loadStall        time.Duration

	// sequence is the number of orders that the engine has accepted, as far as the agent knows.
	sequence     int64
	pendingOrder *Order
	// loadingFor is the share of the request for which the last adapter load was ordered.
	loadingFor *share
	lostOrders []lostOrder
	// nextOrderAt is the earliest time for the next order.
	nextOrderAt   time.Time
	nextInspectAt time.Time
	// inspecting is true while an inspection is in flight.
	inspecting bool
	// averageLoadTime is the moving average of load times from the weight store.
	averageLoadTime time.Duration
	pacer           pacer
	// shares holds what the organisations have used; candidates is reused in each choice among them.
	shares     shares
	candidates []candidate
	drain      drainMeter
	// nextReviewAt is the earliest time at which waits are estimated again.
	nextReviewAt time.Time
	leaving      bool
}

// New returns the state of an agent that starts at now.
func New(now time.Time) *Engine {
	return &Engine{
		startedAt: now, averageLoadTime: storeLoadTime, loaded: map[Key]int{}, loading: map[Key]pendingLoad{}, reportedMissing: map[Key]bool{},
		popularity: map[Key]decay.Count{}, granted: map[string]*granted{}, pins: map[Key]int{},
	}
}

// Load is the state and load of an engine as entry nodes are informed of it.
type Load struct {
	Known bool
	Model string
	Born  int64
	Slots int
	// Backlog is the estimated time until the engine has prefilled the granted prompts and the
	// queued ones whose adapter is loaded.
	Backlog time.Duration
	// BurstMax is the number of prompt tokens that are granted without a break, zero for no
	// limit.
	BurstMax int
	// PrefillRate is the measured number of prompt tokens that the engine prefills in a second, zero if it is
	// not known.
	PrefillRate int
	// BurstRate is the number of prompt tokens in a second at which the engine has answered bursts of prompts, network
	// delay and first events included, zero if it is not known. It tells how fast an engine is beside others.
	BurstRate int
	// EventTime is the measured time between two events of a stream that runs on the engine, zero if it is not
	// known.
	EventTime time.Duration
	// LoadTime is the moving average of adapter load times from the weight store.
	LoadTime   time.Duration
	Running    int
	Waiting    int
	MemoryFree int
	// Leaving is true once the agent gives no more grants, Draining once the engine shuts down.
	Leaving  bool
	Draining bool
}

// Load returns the engine's state and load at now.
func (en *Engine) Load(now time.Time) Load {
	return Load{
		Known: en.reachable, Model: en.loadedModel(), Born: en.observation.Born, Slots: en.slots,
		Backlog:  en.backlog(now, func(rq *Request) bool { return en.isLoaded(rq.Key) }),
		BurstMax: en.pacer.burstLimit(0, now), PrefillRate: en.pacer.reportedRate(), BurstRate: en.pacer.burstRate(), EventTime: en.pacer.reportedEventTime(),
		LoadTime: en.averageLoadTime, Running: len(en.granted), Waiting: len(en.queue), MemoryFree: en.memoryFree(), Leaving: en.leaving, Draining: en.observation.Draining,
	}
}

// loadedModel returns the name of the first base model that the engine has loaded or is known to
// be loading, or "".
func (en *Engine) loadedModel() string {
	if len(en.observation.Models) == 0 {
		return ""
	}
	return en.observation.Models[0].Name
}

// AdapterState is an adapter that the engine has loaded or is loading.
type AdapterState struct {
	Key     Key
	Version int
	Ready   bool
	Pins    int
	Waiting int
}

// Adapters returns the adapters that are loaded or loading, sorted by model and name.
func (en *Engine) Adapters() []AdapterState {
	list := make([]AdapterState, 0, len(en.loaded)+len(en.loading))
	for ke, version := range en.loaded {
		list = append(list, AdapterState{Key: ke, Version: version, Ready: true, Pins: en.pinCount(ke), Waiting: en.waitingCount(ke)})
	}
	for ke, pl := range en.loading {
		if _, ok := en.loaded[ke]; !ok {
			list = append(list, AdapterState{Key: ke, Version: pl.version, Waiting: en.waitingCount(ke)})
		}
	}
	slices.SortFunc(list, func(aa, bb AdapterState) int {
		return strings.Compare(aa.Key.Model+"/"+aa.Key.Adapter, bb.Key.Model+"/"+bb.Key.Adapter)
	})
	return list
}

// pinCount returns the number of granted requests for an adapter.
func (en *Engine) pinCount(ke Key) int { return en.pins[ke] }

// waitingCount returns the number of queued requests for an adapter.
func (en *Engine) waitingCount(ke Key) int {
	count := 0
	for ix := range en.queue {
		if en.queue[ix].Key == ke {
			count++
		}
	}
	return count
}

// priority returns the request's urgency plus a share that grows with its waiting time.
func (rq *Request) priority(now time.Time) float64 {
	return float64(rq.Urgency) + float64(now.Sub(rq.Arrived))/float64(agingStep)
}
