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

// Options describes an engine; the zero value has no slots.
type Options struct {
	Name  string
	Model string
	// Slots is the number of adapters held at once.
	Slots int
	// Places is the number of requests run together.
	Places int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// StepTime is the time of one decoding step with an empty batch.
	StepTime time.Duration
	// StepTimePerRequest is added to a step for each request in the batch.
	StepTimePerRequest time.Duration
	// PrefillPerToken is the time of one prompt token that is not cached.
	PrefillPerToken time.Duration
	// ReportLag is the age of the load that is reported.
	ReportLag time.Duration
	// ColdStart is the time after a crash in which nothing is answered.
	ColdStart time.Duration
	// CrashWord makes the engine crash on a prompt that contains it.
	CrashWord string
}

// Store loads weights.
type Store interface {
	// Fetch takes the time of a load and returns the HTTP status it ended with.
	Fetch(ctx context.Context, adapter string, version int) int
}

// Errors of orders and requests.
var (
	ErrStaleFence = errors.New("engine: the order carries an old fencing number")
	ErrNoSlot     = errors.New("engine: every adapter slot is taken")
	ErrNoHandle   = errors.New("engine: the handle is not loaded")
	ErrStoreBusy  = errors.New("engine: the weight store has no room")
	ErrLoadFailed = errors.New("engine: the weights could not be loaded")
	errCrashed    = errors.New("engine: crashed on the request")
	ErrDown       = errors.New("engine: starting up")
)

// loaded is an adapter in a slot.
type loaded struct {
	adapter string
	version int
	ready   bool
}

// Violations counts what a correct agent never causes.
type Violations struct {
	// EvictedWhileServing counts requests broken by an unload of their handle.
	EvictedWhileServing int
}

// Engine is the state of one engine.
type Engine struct {
	op    Options
	store Store

	mu         sync.Mutex
	boot       int
	fence      uint64
	handles    map[string]*loaded
	waiting    []*sequence
	running    []*sequence
	wake       chan struct{}
	upAt       time.Time
	cache      prefixCache
	loads      loadHistory
	violations Violations
	served     []Served
	steps      int
	filled     int
	frozen     bool
	orderDelay time.Duration
	loseOrders bool
}

// Served is a request that the engine ran to its end or crash.
type Served struct {
	Request string
	Model   string
	Prompt  string
	Tokens  int
	Whole   bool
	// Started is when the engine took the request.
	Started time.Time
}

// New returns an engine that is up.
func New(op Options, st Store) *Engine {
	return &Engine{op: op, store: st, boot: 1, handles: map[string]*loaded{}, wake: make(chan struct{}, 1)}
}

// Boot identifies the run of the engine.
func (en *Engine) Boot() string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.bootName()
}

// bootName returns the name of the run.
func (en *Engine) bootName() string {
	return en.op.Name + "-" + strconv.Itoa(en.boot)
}

// Crash loses all that the engine holds and runs.
func (en *Engine) Crash() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.crash()
}

// crash breaks every request and starts cold.
func (en *Engine) crash() {
	en.boot++
	en.fence = 0
	en.handles = map[string]*loaded{}
	en.cache = prefixCache{}
	en.upAt = time.Now().Add(en.op.ColdStart)
	for _, sq := range slices.Concat(en.running, en.waiting) {
		en.finish(sq, false)
	}
	en.running = nil
	en.waiting = nil
}

// SetFrozen stops the batch without a sign to anyone.
func (en *Engine) SetFrozen(frozen bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.frozen = frozen
	en.signal()
}

// SetOrders delays orders and loses their answers.
func (en *Engine) SetOrders(delay time.Duration, lose bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.orderDelay = delay
	en.loseOrders = lose
}

// Violations returns what was counted so far.
func (en *Engine) Violations() Violations {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.violations
}

// Served lists the requests that ended.
func (en *Engine) Served() []Served {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.served)
}

// Fill returns the batch places filled and offered over all steps.
func (en *Engine) Fill() (int, int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.filled, en.steps * en.op.Places
}

// Load carries out a load order.
func (en *Engine) Load(ctx context.Context, handle, adapter string, version int, fence uint64) error {
	boot, err := en.reserve(handle, adapter, version, fence)
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
		if lo := en.handles[handle]; lo != nil {
			lo.ready = true
			return nil
		}
		return ErrNoHandle
	}
	delete(en.handles, handle)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return ErrStoreBusy
	}
	return ErrLoadFailed
}

// reserve takes a slot for a load.
func (en *Engine) reserve(handle, adapter string, version int, fence uint64) (int, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if err := en.admitOrder(fence); err != nil {
		return 0, err
	}
	if en.handles[handle] == nil && len(en.handles) >= en.op.Slots {
		return 0, ErrNoSlot
	}
	en.handles[handle] = &loaded{adapter: adapter, version: version}
	return en.boot, nil
}

// Unload carries out an unload order and breaks requests that run on the handle.
func (en *Engine) Unload(handle string, fence uint64) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	if err := en.admitOrder(fence); err != nil {
		return err
	}
	if en.handles[handle] == nil {
		return ErrNoHandle
	}
	delete(en.handles, handle)
	for _, sq := range slices.Concat(en.running, en.waiting) {
		if sq.handle == handle {
			en.violations.EvictedWhileServing++
			en.drop(sq, false)
		}
	}
	return nil
}

// admitOrder checks that the engine is up and the fencing number is not old.
func (en *Engine) admitOrder(fence uint64) error {
	if time.Now().Before(en.upAt) {
		return ErrDown
	}
	if en.op.ChecksFencing && fence < en.fence {
		return ErrStaleFence
	}
	en.fence = max(en.fence, fence)
	return nil
}

// Held is a handle with its adapter and the requests on it.
type Held struct {
	Handle  string `json:"handle"`
	Adapter string `json:"adapter"`
	Version int    `json:"version"`
	Running int    `json:"running"`
	Ready   bool   `json:"ready"`
}

// Inventory is what the engine holds.
type Inventory struct {
	Boot  string `json:"boot"`
	Fence uint64 `json:"fence"`
	Held  []Held `json:"held"`
}

// Inventory returns what the engine holds, in the order of the handles.
func (en *Engine) Inventory() (Inventory, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if time.Now().Before(en.upAt) {
		return Inventory{}, ErrDown
	}
	iv := Inventory{Boot: en.bootName(), Fence: en.fence, Held: []Held{}}
	for handle, lo := range en.handles {
		he := Held{Handle: handle, Adapter: lo.adapter, Version: lo.version, Ready: lo.ready}
		for _, sq := range slices.Concat(en.running, en.waiting) {
			if sq.handle == handle {
				he.Running++
			}
		}
		iv.Held = append(iv.Held, he)
	}
	slices.SortFunc(iv.Held, func(aa, bb Held) int { return strings.Compare(aa.Handle, bb.Handle) })
	return iv, nil
}
