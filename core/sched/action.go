package sched

import (
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

// Action is one step for the agent to carry out; exactly one field is set.
type Action struct {
	Forward *Forward
	Refuse  *Refuse
	Load    *Load
	Unload  *Unload
	Inspect *Inspect
}

// Forward sends a request to the backend server.
type Forward struct {
	Attempt string
	// Handle is the adapter's handle at the engine, empty for a plain service.
	Handle string
}

// Refuse answers a request that will not run.
type Refuse struct {
	Attempt    string
	Reason     string
	RetryAfter time.Duration
}

// Load orders the engine to load an adapter under a handle.
type Load struct {
	Adapter conf.AdapterVersion
	Handle  string
	Fence   uint64
}

// Unload orders the engine to unload a handle.
type Unload struct {
	Handle string
	Fence  uint64
}

// Inspect asks the engine which handles it holds.
type Inspect struct{}

// Result is the result of an order.
type Result int

// Results of an order.
const (
	// Done means that the engine has carried out the order.
	Done Result = iota
	// Rejected means that the engine has not carried out the order and will not.
	Rejected
	// StoreBusy means that the weight store had no capacity; the load may be ordered again later.
	StoreBusy
	// Lost means that no answer came; the engine may still carry out the order.
	Lost
)

// Held is a handle that the engine has loaded or is loading, as reported in an inspection.
type Held struct {
	Handle  string
	Running int
	// Ready is true once the load has completed.
	Ready bool
}

// Reasons why a request is refused. Entry nodes receive these strings.
const (
	ReasonAgentLeaving = "leaving"
	ReasonQueueFull    = "queue_full"
	ReasonDeadline     = "deadline"
	ReasonLoadFailed   = "load_failed"
	ReasonNotReady     = "not_ready"
)
