package grant

import "time"

// Action is one step for the agent to carry out; exactly one field is set.
type Action struct {
	Grant   *Grant
	Queue   *Queue
	Refuse  *Refuse
	Order   *Order
	Inspect *Inspect
}

// Grant allows an entry node to send a request to the engine.
type Grant struct {
	Attempt string
	Entry   string
	// Version is the adapter version that the engine has loaded.
	Version int
}

// Queue informs an entry node that its request waits for a grant.
type Queue struct {
	Attempt string
	Entry   string
	Reason  string
}

// Refuse informs an entry node that its request gets no grant.
type Refuse struct {
	Attempt    string
	Entry      string
	Reason     string
	RetryAfter time.Duration
	// Organisation is that of the request, and Waited how long the request was queued.
	Organisation string
	Waited       time.Duration
}

// Operation is the kind of change that an order makes to the engine.
type Operation int

// Operations that an agent can order.
const (
	LoadModel Operation = iota
	LoadAdapter
	UnloadAdapter
)

var operationNames = [...]string{"load_model", "load_adapter", "unload_adapter"}

// String returns the operation's name for logs.
func (op Operation) String() string { return operationNames[op] }

// Order tells the engine to load or unload a base model or an adapter.
type Order struct {
	Operation Operation
	Key       Key
	// Version is the version to load, zero for the newest.
	Version int
	// Sequence is the number of orders that the engine must have accepted so far; otherwise
	// it answers Conflict.
	Sequence int64
	// Born is the start time, in Unix milliseconds, of the engine process that the order is
	// meant for.
	Born int64
	// Server is the server ID of that engine process, empty if it is not known.
	Server string
}

// Inspect asks the engine for its state: its models, adapters, sequence number and memory.
type Inspect struct{}

// Result is the result of an order.
type Result int

// Results of an order.
const (
	// Accepted means that the engine is carrying out the order and has counted it.
	Accepted Result = iota
	// InEffect means that the ordered state is in effect: an unload was carried out at once, or a
	// load asked for what the engine has already.
	InEffect
	// Conflict means that the engine is carrying out another order or that its sequence number
	// differs.
	Conflict
	// Rejected means that the engine will not carry out the order.
	Rejected
	// Lost means that no answer came; the engine may still carry out the order.
	Lost
)

var resultNames = [...]string{"accepted", "holds", "conflict", "rejected", "lost"}

// String returns the result's name for logs.
func (re Result) String() string { return resultNames[re] }

// Model is a base model that the engine has loaded, with its adapters.
type Model struct {
	Name string
	// Adapters maps the name of each loaded adapter to its version.
	Adapters map[string]int
}

// Observation is the state that an engine reports when it is inspected.
type Observation struct {
	// Born is the start time of the engine process in Unix milliseconds; it differs between
	// one process and the next.
	Born   int64
	Models []Model
	// Coming maps the adapters that the engine is loading to their versions.
	Coming map[Key]int
	// AtHand lists the base models that are on the disk of the engine's host.
	AtHand []string
	// Draining is true once the engine is shutting down and takes no new requests.
	Draining bool
	// Busy is true while the engine carries out an order for a base model.
	Busy bool
	// Sequence is the number of orders that the engine has accepted.
	Sequence int64
	Running  int
	Waiting  int
	// MemoryUsed and MemoryTotal are in KV cache tokens.
	MemoryUsed  int
	MemoryTotal int
	// Runs lists the running requests, as far as the engine reports them. RunsKnown is false if the report was read
	// without them.
	Runs      []Run
	RunsKnown bool
}

// Run is a request that runs on the engine.
type Run struct {
	ID string
	// Tokens is the number of tokens that the request has in the KV cache, and Events the number of events that it
	// has made, zero while its prompt is read.
	Tokens int
	Events int
}

// Reasons why a request is refused or queued. Entry nodes receive these strings.
const (
	ReasonAgentLeaving   = "leaving"
	ReasonQueueFull      = "queue_full"
	ReasonDeadline       = "deadline"
	ReasonEngineBusy     = "engine_busy"
	ReasonAdapterLoading = "adapter_loading"
	ReasonMemoryFull     = "memory_full"
	ReasonEngineSilent   = "engine_silent"
	ReasonModelLoading   = "model_loading"
	ReasonEngineDraining = "engine_draining"
	ReasonPrefillBusy    = "reading_prompts"
	// ReasonDeadlineUnreachable means that the requests which are served before would take until after the deadline.
	ReasonDeadlineUnreachable = "deadline_unreachable"
)
