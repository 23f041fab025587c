package sched

import (
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/decay"
)

const (
	// queuePerPlaceMax bounds the queue as a multiple of the batch places.
	queuePerPlaceMax = 8
	// agingStep is how long a request waits for its priority to grow by one level of urgency.
	agingStep = 5 * time.Second
	// ordersInFlightMax bounds the loads in flight at one engine and, separately, the evictions:
	// at that many unloads in flight, nothing more is evicted.
	ordersInFlightMax = 2
	// loadFailuresMax is the number of consecutive failed loads of an adapter after which the
	// requests that wait for it are refused; lack of capacity at the weight store is no failure.
	loadFailuresMax = 2
	// inspectInterval is the least time between inspections, which repeat while a slot is
	// unconfirmed or a handle belongs to no slot.
	inspectInterval = 500 * time.Millisecond

	// loadRetryDelay is the pause before the next load after one that failed or for which the
	// weight store had no capacity.
	loadRetryDelay = 250 * time.Millisecond

	// lateArrivalMax is how long a request that was given up may take to arrive at the engine.
	lateArrivalMax = 2 * time.Second

	// defaultRetryAfter is the retry delay of a refusal for which no better estimate exists.
	defaultRetryAfter = 200 * time.Millisecond
)

// Settings describes the backend server.
type Settings struct {
	// Boot identifies the run of the agent.
	Boot string
	// Slots is the number of adapter slots, zero for a plain service.
	Slots int
	// Places is the number of requests that run at the same time, the size of the batch.
	Places int
}

// QueuedRequest is a request at the agent.
type QueuedRequest struct {
	Attempt string
	// Adapter is the zero value for a plain service.
	Adapter conf.AdapterVersion
	// Alone is true if no other request may run at the same time.
	Alone    bool
	Urgency  int
	Arrived  time.Time
	Deadline time.Time
	// countsAsStall is true if the request's wait counts as load stall, because its adapter was
	// not ready when it arrived.
	countsAsStall bool
}

// Scheduler holds the slots and the queue of one backend server; a plain service has no slots.
type Scheduler struct {
	boot   string
	places int
	slots  []Slot
	queue  []QueuedRequest
	// running maps each attempt at the backend server to the handle that it runs on.
	running map[string]string
	// runningAlone is the attempt at the backend server of a request that must run alone, or empty.
	runningAlone string
	popularity   map[conf.AdapterVersion]decay.Count
	loadFailures map[conf.AdapterVersion]int
	// strayHandles are the handles at the engine that belong to no slot; the value is true once
	// their unload was ordered.
	strayHandles map[string]bool
	handleCount  uint64
	fence        uint64
	// inspected is true once the engine has reported its handles.
	inspected     bool
	leaving       bool
	nextInspectAt time.Time
	nextLoadAt    time.Time
	stats         Stats
	accountedAt   time.Time
}

// New returns a scheduler that has no information about its engine yet.
func New(se Settings) *Scheduler {
	return &Scheduler{
		boot: se.Boot, places: se.Places, slots: make([]Slot, se.Slots),
		running: map[string]string{}, popularity: map[conf.AdapterVersion]decay.Count{},
		loadFailures: map[conf.AdapterVersion]int{}, strayHandles: map[string]bool{},
		inspected: se.Slots == 0,
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
