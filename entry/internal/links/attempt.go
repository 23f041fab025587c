package links

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// Window is the number of chunks an attempt can hold.
	Window = 32

	signalsMax = Window + 16
)

// Signal is something that concerns an attempt; exactly one field is set.
type Signal struct {
	Frame *wire.Frame
	Link  *LinkChange
}

// LinkChange tells that the connection to the attempt's runner was lost or is there again.
type LinkChange struct {
	Up bool
	// Boot is the agent's boot on the new connection.
	Boot string
}

// Attempt is one attempt of a request at a runner.
type Attempt struct {
	ID      string
	Runner  string
	Boot    string
	Signals chan Signal
	Sent    time.Time

	ls *Links
	// dropped is set when a signal found no room; what was lost is asked for again.
	dropped atomic.Bool
}

// deliver hands a signal over without waiting.
func (at *Attempt) deliver(si Signal) {
	select {
	case at.Signals <- si:
	default:
		at.dropped.Store(true)
	}
}

// Dropped tells once whether signals were lost.
func (at *Attempt) Dropped() bool { return at.dropped.Swap(false) }

// Acknowledge tells the agent which chunks have arrived without a gap; with replay it asks for the rest again.
func (at *Attempt) Acknowledge(ctx context.Context, received uint64, replay bool) {
	at.ls.send(ctx, at.Runner, at.Boot, &wire.Frame{Credit: &wire.Credit{Attempt: at.ID, Received: received, Replay: replay}})
}

// Cancel tells the agent that nobody waits for the attempt.
func (at *Attempt) Cancel(ctx context.Context) {
	at.ls.send(ctx, at.Runner, at.Boot, &wire.Frame{Cancel: &wire.Cancel{Attempt: at.ID}})
}

// Void asks the agent to make sure that the attempt never runs; the answer comes
// as a signal. It returns false where the agent's boot cannot be reached.
func (at *Attempt) Void(ctx context.Context, claimedAt int64) bool {
	return at.ls.send(ctx, at.Runner, at.Boot, &wire.Frame{Void: &wire.Void{Attempt: at.ID, Boot: at.Boot, ClaimedAt: claimedAt}})
}

// Close forgets the attempt.
func (at *Attempt) Close() {
	at.ls.mu.Lock()
	defer at.ls.mu.Unlock()
	delete(at.ls.attempts, at.ID)
}
