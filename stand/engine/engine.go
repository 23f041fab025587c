package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures an engine. The zero value has no adapter slots and no batch places.
type Options struct {
	Name  string
	Model string
	// Slots is the number of adapters that can be loaded at once.
	Slots int
	// BatchSize is the number of requests that run in the batch at once.
	BatchSize int
	// ChecksFencing makes the engine refuse an order whose fencing token is lower than the
	// highest it has seen since it started.
	ChecksFencing bool
	// StepTime is the duration of a decoding step without the share of the requests in it.
	StepTime time.Duration
	// StepTimePerRequest is the time added to a decoding step for each request in the batch.
	StepTimePerRequest time.Duration
	// PrefillPerToken is the time to process a prompt token that is not in the prefix cache.
	PrefillPerToken time.Duration
	// ReportLag is the age of the load that the engine reports.
	ReportLag time.Duration
	// ColdStart is the time after a crash in which the engine refuses requests, orders and inspections.
	ColdStart time.Duration
	// Software is the version of the engine's software that its answers name, empty for none.
	Software string
	// CrashWord makes the engine crash on a prompt that contains it; empty switches this off.
	CrashWord string
}

// Store loads adapter weights.
type Store interface {
	// Fetch blocks until the load has ended and returns its HTTP status.
	Fetch(ctx context.Context, adapter string, version int) int
}

// Errors of orders and requests.
var (
	ErrStaleFence = errors.New("engine: the order carries an old fencing token")
	ErrNoSlot     = errors.New("engine: every adapter slot is taken")
	ErrNoHandle   = errors.New("engine: the handle is not loaded")
	ErrStoreBusy  = errors.New("engine: the weight store has no room")
	ErrLoadFailed = errors.New("engine: the weights could not be loaded")
	errCrashed    = errors.New("engine: crashed on the request")
	ErrDown       = errors.New("engine: starting up")
)

// adapterSlot holds an adapter that is loaded, or being loaded while it is not ready.
type adapterSlot struct {
	adapter string
	version int
	ready   bool
}

// Violations counts faults that a correct agent never causes.
type Violations struct {
	// EvictedWhileServing counts requests that ended early because their handle was unloaded.
	EvictedWhileServing int
}

// Engine is a simulated model engine.
type Engine struct {
	op    Options
	store Store

	// mu guards the fields below, except wake.
	mu sync.Mutex
	// boot is the number of the current run.
	boot int
	// fence is the highest fencing token seen in this run.
	fence uint64
	// slots holds the adapter slots in use by handle.
	slots   map[string]*adapterSlot
	waiting []*batchRequest
	running []*batchRequest
	wake    chan struct{}
	// readyAt is the end of the current cold start.
	readyAt    time.Time
	cache      prefixCache
	history    batchHistory
	violations Violations
	served     []Served
	// steps is the number of decoding steps so far; filledPlaces sums the batch places used in them.
	steps            int
	filledPlaces     int
	frozen           bool
	orderDelay       time.Duration
	loseOrderAnswers bool
}

// Served records a request that has ended: completed, canceled, or aborted by an unload or a
// crash.
type Served struct {
	Request string
	// Model is the adapter and its version, as in "adapter@1".
	Model  string
	Prompt string
	// Tokens is the number of answer tokens, including those that another engine produced.
	Tokens int
	// Complete is true if the request ran to its last token.
	Complete bool
	// Started is the time at which the request entered the queue.
	Started time.Time
}

// New returns an engine that is ready at once.
func New(op Options, st Store) *Engine {
	return &Engine{op: op, store: st, boot: 1, slots: map[string]*adapterSlot{}, wake: make(chan struct{}, 1)}
}

// Boot returns the ID of the engine's current run, which changes with each crash.
func (en *Engine) Boot() string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.bootID()
}

// bootID returns the ID of the current run.
func (en *Engine) bootID() string {
	return en.op.Name + "-" + strconv.Itoa(en.boot)
}

// Crash makes the engine lose its adapters, its cache and all requests, and restart.
func (en *Engine) Crash() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.crash()
}

// crash aborts every request, clears the state and begins a cold start.
func (en *Engine) crash() {
	en.boot++
	en.fence = 0
	en.slots = map[string]*adapterSlot{}
	en.cache = prefixCache{}
	en.readyAt = time.Now().Add(en.op.ColdStart)
	for _, br := range slices.Concat(en.running, en.waiting) {
		en.endRequest(br, false)
	}
	en.running = nil
	en.waiting = nil
}

// SetFrozen stops or resumes decoding. A frozen engine still accepts requests and orders, so
// that clients see no error.
func (en *Engine) SetFrozen(frozen bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.frozen = frozen
	en.wakeLoop()
}

// SetOrderFaults sets a delay for load and unload orders, and whether their answers are lost.
func (en *Engine) SetOrderFaults(delay time.Duration, loseAnswers bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.orderDelay = delay
	en.loseOrderAnswers = loseAnswers
}

// Violations returns the faults counted so far.
func (en *Engine) Violations() Violations {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.violations
}

// Served returns the requests that have ended.
func (en *Engine) Served() []Served {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.served)
}

// BatchFill returns the number of batch places used and the number available, both summed over all
// decoding steps.
func (en *Engine) BatchFill() (int, int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.filledPlaces, en.steps * en.op.BatchSize
}

// Load executes a load order and returns when the adapter is ready or the load has failed.
func (en *Engine) Load(ctx context.Context, handle, adapter string, version int, fence uint64) error {
	boot, err := en.reserveSlot(handle, adapter, version, fence)
	if err != nil {
		return err
	}
	status := en.store.Fetch(ctx, adapter, version)
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.boot != boot {
		return ErrDown
	}
	if status == http.StatusOK {
		if sl := en.slots[handle]; sl != nil {
			sl.ready = true
			return nil
		}
		return ErrNoHandle
	}
	delete(en.slots, handle)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return ErrStoreBusy
	}
	return ErrLoadFailed
}

// reserveSlot reserves a slot for a load and returns the number of the current run.
func (en *Engine) reserveSlot(handle, adapter string, version int, fence uint64) (int, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if err := en.checkOrder(fence); err != nil {
		return 0, err
	}
	if en.slots[handle] == nil && len(en.slots) >= en.op.Slots {
		return 0, ErrNoSlot
	}
	en.slots[handle] = &adapterSlot{adapter: adapter, version: version}
	return en.boot, nil
}

// Unload executes an unload order. It aborts the requests on the handle and counts them as
// violations. It fails with ErrDown, ErrStaleFence or ErrNoHandle.
func (en *Engine) Unload(handle string, fence uint64) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	if err := en.checkOrder(fence); err != nil {
		return err
	}
	if en.slots[handle] == nil {
		return ErrNoHandle
	}
	delete(en.slots, handle)
	for _, br := range slices.Concat(en.running, en.waiting) {
		if br.handle == handle {
			en.violations.EvictedWhileServing++
			en.removeRequest(br, false)
		}
	}
	return nil
}

// checkOrder refuses an order while the engine starts or if its fencing token is stale, and
// otherwise remembers the highest fencing token.
func (en *Engine) checkOrder(fence uint64) error {
	if time.Now().Before(en.readyAt) {
		return ErrDown
	}
	if en.op.ChecksFencing && fence < en.fence {
		return ErrStaleFence
	}
	en.fence = max(en.fence, fence)
	return nil
}

// Held describes the adapter loaded under a handle. Running includes waiting requests.
type Held struct {
	Handle  string `json:"handle"`
	Adapter string `json:"adapter"`
	Version int    `json:"version"`
	Running int    `json:"running"`
	Ready   bool   `json:"ready"`
}

// Inventory lists the adapters that the engine holds.
type Inventory struct {
	Boot  string `json:"boot"`
	Fence uint64 `json:"fence"`
	Held  []Held `json:"held"`
}

// Inventory returns the adapters that the engine holds, sorted by handle. It fails with ErrDown
// during a cold start.
func (en *Engine) Inventory() (Inventory, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if time.Now().Before(en.readyAt) {
		return Inventory{}, ErrDown
	}
	iv := Inventory{Boot: en.bootID(), Fence: en.fence, Held: []Held{}}
	for handle, sl := range en.slots {
		he := Held{Handle: handle, Adapter: sl.adapter, Version: sl.version, Ready: sl.ready}
		for _, br := range slices.Concat(en.running, en.waiting) {
			if br.handle == handle {
				he.Running++
			}
		}
		iv.Held = append(iv.Held, he)
	}
	slices.SortFunc(iv.Held, func(aa, bb Held) int { return strings.Compare(aa.Handle, bb.Handle) })
	return iv, nil
}
