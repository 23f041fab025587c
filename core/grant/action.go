package grant

import "time"

// Action is one thing for the agent to do; exactly one field is set.
type Action struct {
	Grant   *Grant
	Queue   *Queue
	Refuse  *Refuse
	Order   *Order
	Inspect *Inspect
}

// Grant tells an entry node that it may send an attempt.
type Grant struct {
	Attempt string
	Entry   string
	// Version is the adapter's version on the engine.
	Version int
}

// Queue tells an entry node that an attempt waits.
type Queue struct {
	Attempt string
	Entry   string
	Reason  string
}

// Refuse tells an entry node that an attempt gets no grant.
type Refuse struct {
	Attempt    string
	Entry      string
	Reason     string
	RetryAfter time.Duration
}

// Operation is what an order asks for.
type Operation int

// Operations.
const (
	LoadModel Operation = iota
	LoadAdapter
	UnloadAdapter
)

var operationNames = [...]string{"load_model", "load_adapter", "unload_adapter"}

// String returns the operation's name in logs.
func (op Operation) String() string { return operationNames[op] }

// Order is an order to the engine.
type Order struct {
	Operation Operation
	Key       Key
	// Version is the version to load, zero for the newest.
	Version int
	// Sequence is the engine's count of orders that this one expects.
	Sequence int64
	// Born is the run of the engine that the order is meant for.
	Born int64
	// Server is the identity of that run, empty where it is not known.
	Server string
}

// Inspect asks the engine what it holds.
type Inspect struct{}

// Result is what became of an order.
type Result int

// Results of an order.
const (
	// Accepted means that the engine carries out the order and has counted it.
	Accepted Result = iota
	// Holds means that the order holds already.
	Holds
	// Conflict means that another order is under way or the count differs.
	Conflict
	// Rejected means that the engine will not carry out the order.
	Rejected
	// Lost means that no answer came; the order may still take effect.
	Lost
)

var resultNames = [...]string{"accepted", "holds", "conflict", "rejected", "lost"}

// String returns the result's name in logs.
func (re Result) String() string { return resultNames[re] }

// Model is a base model on an engine with its adapters.
type Model struct {
	Name string
	// Adapters maps the adapters loaded to their versions.
	Adapters map[string]int
}

// Observation is what the engine says of itself.
type Observation struct {
	// Born identifies the run of the engine.
	Born   int64
	Models []Model
	// Coming maps the adapters on their way to their versions.
	Coming map[Key]int
	// AtHand lists the base models that the engine's host has copies of.
	AtHand []string
	// Draining is true once the engine leaves.
	Draining bool
	// Busy is true while an order for a base model is under way.
	Busy        bool
	Sequence    int64
	Running     int
	Waiting     int
	MemoryUsed  int
	MemoryTotal int
}

// Reasons of refusals and queueing.
const (
	ReasonLeaving   = "leaving"
	ReasonQueueFull = "queue_full"
	ReasonDeadline  = "deadline"
	ReasonAdapter   = "adapter_loading"
	ReasonMemory    = "memory_full"
	ReasonUnknown   = "engine_silent"
	ReasonModel     = "model_loading"
	ReasonDraining  = "engine_draining"
	ReasonReading   = "reading_prompts"
)
