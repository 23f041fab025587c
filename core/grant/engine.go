package grant

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooladder/bambooladder/core/decay"
)

const (
	// loadsMax bounds the adapters on their way to one engine. Where loads take longer
	// than slowLoads times what they take at full speed, the weight store has more of
	// them than it serves well, and each engine asks for one at a time.
	loadsMax  = 3
	slowLoads = 1.5
	// loadWeight is the weight of one more load in their measured time.
	loadWeight = 0.25
	// ageingStep is the time a request waits to gain one rank of urgency.
	ageingStep = 2 * time.Second
	// queueMax bounds the requests that wait for one engine.
	queueMax = 512
	// popularityHalfLife is the time in which the weight of a past request halves.
	popularityHalfLife = 15 * time.Second
	// RecentMax is the number of adapters an engine's host keeps at hand.
	RecentMax = 36
	// lostMax is how long an order without an answer may still be carried out.
	lostMax = 13 * time.Second
	// orphanMax is how long a grant outlives the connection of its entry node.
	orphanMax = 10 * time.Second
	// settleMax is how long after its start an agent evicts nothing, because entry
	// nodes have yet to name the grants of an earlier run.
	settleMax = 1500 * time.Millisecond

	// inspectIdle is the time between inspections while nothing is under way.
	inspectIdle = 500 * time.Millisecond
	// inspectSoon is the time between inspections while an adapter is on its way.
	inspectSoon = 25 * time.Millisecond
	// loadTime is how long an adapter takes from the weight store at full speed.
	loadTime = 250 * time.Millisecond
	// reloadTime is how long an adapter takes that the engine's host has at hand.
	reloadTime = 25 * time.Millisecond
	// conflictWait is the time before an order that another was in the way of.
	conflictWait = 50 * time.Millisecond
)

// Key names an adapter of a base model; an empty adapter stands for the model alone.
type Key struct {
	Model   string
	Adapter string
}

// Item is a request for which an entry node wants a grant.
type Item struct {
	Attempt string
	// Entry identifies the connection that asked.
	Entry string
	Key   Key
	// Version is the newest version announced, zero where none was.
	Version int
	// Settled is true once no older version may be used.
	Settled      bool
	Urgency      int
	PromptTokens int
	OutputTokens int
	// PauseMax is the longest pause between events that the caller bears, zero for any.
	PauseMax time.Duration
	Arrived  time.Time
	Deadline time.Time
}

// held is a granted request.
type held struct {
	Item
	// orphaned is when the connection of its entry node was lost, zero while it is there.
	orphaned time.Time
}

// loading is an adapter on its way to the engine.
type loading struct {
	version int
	// fetched is true for one that comes from the weight store.
	fetched bool
	since   time.Time
	due     time.Time
}

// lostOrder is a load that had no answer and may be carried out late.
type lostOrder struct {
	Order
	at time.Time
}

// Engine is what an agent knows of its engine, and the requests it has granted.
type Engine struct {
	ob Observation
	// known is false until the engine has answered.
	known   bool
	started time.Time

	loaded map[Key]int
	coming map[Key]loading
	// doubtful holds adapters that the engine did not find when a request named them.
	doubtful map[Key]bool
	recent   []Key
	popular  map[Key]decay.Count
	queue    []Item
	held     map[string]*held
	// wantedModel is the base model that entry nodes ask for.
	wantedModel string
	// server is the engine's identity and serverBorn the run that has it.
	server     string
	serverBorn int64
	// slots is the number of adapters that the engine has room for.
	slots     int
	modelDue  time.Time
	evictions int
	loads     int
	stall     time.Duration

	// sequence is the engine's count of orders as far as it is known.
	sequence  int64
	order     *Order
	lost      []lostOrder
	orderAt   time.Time
	inspectAt time.Time
	// inspecting is true while the engine is asked.
	inspecting bool
	// loadTook is how long adapters have taken of late from the weight store.
	loadTook time.Duration
	reads    reads
	leaving  bool
}

// New returns the state of an agent that starts now.
func New(now time.Time) *Engine {
	return &Engine{
		started: now, loadTook: loadTime, loaded: map[Key]int{}, coming: map[Key]loading{}, doubtful: map[Key]bool{},
		popular: map[Key]decay.Count{}, held: map[string]*held{},
	}
}

// Load is the engine's work as entry nodes are told.
type Load struct {
	Known bool
	Model string
	Born  int64
	Slots int
	// Backlog is the time until the prompts that were granted or wait for it are read.
	Backlog time.Duration
	// BurstMax is the prompt tokens that are granted without a break, zero for no bound.
	BurstMax int
	// LoadTime is how long adapters have taken of late from the weight store.
	LoadTime   time.Duration
	Running    int
	Waiting    int
	MemoryFree int
	// Leaving is true once the agent gives no more grants, Draining once the engine leaves.
	Leaving  bool
	Draining bool
}

// Load returns the engine's work at a time.
func (en *Engine) Load(now time.Time) Load {
	backlog := max(0, en.reads.readBy.Sub(now)) + ReadTime(en.queuedTokens())
	return Load{
		Known: en.known, Model: en.model(), Born: en.ob.Born, Slots: en.slots, Backlog: backlog,
		BurstMax: en.reads.burstMax(now),
		LoadTime: en.loadTook, Running: len(en.held), Waiting: len(en.queue), MemoryFree: en.memoryFree(), Leaving: en.leaving, Draining: en.ob.Draining,
	}
}

// model returns the base model that the engine holds, or is known to be loading.
func (en *Engine) model() string {
	if len(en.ob.Models) == 0 {
		return ""
	}
	return en.ob.Models[0].Name
}

// Hold is an adapter on the engine or on its way there.
type Hold struct {
	Key     Key
	Version int
	Ready   bool
	Pins    int
	Waiting int
}

// Holds lists the adapters in order.
func (en *Engine) Holds() []Hold {
	list := make([]Hold, 0, len(en.loaded)+len(en.coming))
	for ke, version := range en.loaded {
		list = append(list, Hold{Key: ke, Version: version, Ready: true, Pins: en.pins(ke), Waiting: en.waitingFor(ke)})
	}
	for ke, lo := range en.coming {
		if _, ok := en.loaded[ke]; !ok {
			list = append(list, Hold{Key: ke, Version: lo.version, Waiting: en.waitingFor(ke)})
		}
	}
	slices.SortFunc(list, func(aa, bb Hold) int {
		return strings.Compare(aa.Key.Model+"/"+aa.Key.Adapter, bb.Key.Model+"/"+bb.Key.Adapter)
	})
	return list
}

// Stats counts what the users measure.
type Stats struct {
	Loads     int
	Evictions int
	// LoadStall is the time that requests waited for an adapter.
	LoadStall time.Duration
}

// Stats returns what was counted so far.
func (en *Engine) Stats() Stats {
	return Stats{Loads: en.loads, Evictions: en.evictions, LoadStall: en.stall}
}

// pins counts the granted requests of an adapter.
func (en *Engine) pins(ke Key) int {
	count := 0
	for _, he := range en.held {
		if he.Key == ke {
			count++
		}
	}
	return count
}

// waitingFor counts the queued requests of an adapter.
func (en *Engine) waitingFor(ke Key) int {
	count := 0
	for ix := range en.queue {
		if en.queue[ix].Key == ke {
			count++
		}
	}
	return count
}

// queuedTokens counts the prompt tokens of the requests that wait for others to be read.
func (en *Engine) queuedTokens() int {
	count := 0
	for ix := range en.queue {
		if _, loaded := en.loaded[en.queue[ix].Key]; loaded {
			count += en.queue[ix].PromptTokens
		}
	}
	return count
}

// memoryFree returns the memory that no granted request takes, in tokens.
func (en *Engine) memoryFree() int {
	taken := 0
	for _, he := range en.held {
		taken += he.PromptTokens + he.OutputTokens
	}
	return en.ob.MemoryTotal - taken
}

// ReadTime returns the time that an engine of usual speed needs to read prompt tokens.
func ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Second))
}

// rank is the urgency with ageing.
func (it *Item) rank(now time.Time) float64 {
	return float64(it.Urgency) + float64(now.Sub(it.Arrived))/float64(ageingStep)
}
