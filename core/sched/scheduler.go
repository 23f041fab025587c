package sched

import (
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/decay"
)

const (
	// queueFactor bounds the queue as a multiple of the batch places.
	queueFactor = 8
	// ageingStep is the time a request waits to gain one rank of urgency.
	ageingStep = 5 * time.Second
	// loadsMax bounds the loads under way at one engine.
	loadsMax = 2
	// loadAttemptsMax bounds failed loads before the waiting requests are refused.
	loadAttemptsMax = 2
	// inspectPeriod is the time between inspections while a slot is doubtful.
	inspectPeriod = 500 * time.Millisecond

	// busyWait is the time before the next load after one that failed.
	busyWait = 250 * time.Millisecond

	// lateMax is how long a request that was given up may take to arrive at the engine.
	lateMax = 2 * time.Second

	refusalWait = 200 * time.Millisecond
)

// Settings describes the backend server.
type Settings struct {
	// Boot identifies the run of the agent.
	Boot string
	// Slots is the number of adapter slots, zero for a plain service.
	Slots int
	// Places is the number of requests run together.
	Places int
}

// Item is a request at the agent.
type Item struct {
	Attempt string
	// Adapter is the zero value for a plain service.
	Adapter conf.AdapterVersion
	// Alone keeps all other requests off the engine while this one runs.
	Alone    bool
	Urgency  int
	Arrived  time.Time
	Deadline time.Time
	// stalled is true when the adapter was not ready at the arrival.
	stalled bool
}

// Scheduler is the state of one engine's slots and queue.
type Scheduler struct {
	boot    string
	places  int
	slots   []Slot
	queue   []Item
	running map[string]string
	// alone is the attempt that runs apart from all others, or empty.
	alone    string
	popular  map[conf.AdapterVersion]decay.Count
	failures map[conf.AdapterVersion]int
	// strays are handles at the engine that belong to no slot; true once their unload was ordered.
	strays  map[string]bool
	counter uint64
	fence   uint64
	// known is false until the engine has told what it holds.
	known     bool
	leaving   bool
	inspectAt time.Time
	loadAt    time.Time
	stats     Stats
	countedAt time.Time
}

// New returns a scheduler that knows nothing of its engine yet.
func New(se Settings) *Scheduler {
	return &Scheduler{
		boot: se.Boot, places: se.Places, slots: make([]Slot, se.Slots),
		running: map[string]string{}, popular: map[conf.AdapterVersion]decay.Count{},
		failures: map[conf.AdapterVersion]int{}, strays: map[string]bool{},
		known: se.Slots == 0,
	}
}

// Slots returns a copy of the slots.
func (sc *Scheduler) Slots() []Slot { return slices.Clone(sc.slots) }

// Running returns the number of requests at the backend server.
func (sc *Scheduler) Running() int { return len(sc.running) }

// Waiting returns the number of queued requests.
func (sc *Scheduler) Waiting() int { return len(sc.queue) }

// WaitingFor returns the number of queued requests for an adapter.
func (sc *Scheduler) WaitingFor(av conf.AdapterVersion) int {
	count := 0
	for ix := range sc.queue {
		if sc.queue[ix].Adapter == av {
			count++
		}
	}
	return count
}
