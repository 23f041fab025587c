package links

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// Window is the number of unacknowledged chunks that an agent may send for an attempt.
	Window = 32

	// eventBufferSize leaves room for connection changes and for frames other than chunks.
	eventBufferSize = Window + 16
)

// Event is a frame from the agent or a change of the connection to it. Exactly one field is set.
type Event struct {
	Frame      *wire.Frame
	Connection *ConnectionChange
}

// ConnectionChange is the loss of the connection to the attempt's runner, or a new connection to it.
type ConnectionChange struct {
	// Up is true for a new connection.
	Up bool
	// Boot identifies the run of the agent on the new connection.
	Boot string
}

// Attempt is one attempt to run a request on a runner.
type Attempt struct {
	ID     string
	Runner string
	// Boot identifies the run of the agent that the attempt was sent to.
	Boot   string
	Events chan Event
	SentAt time.Time

	ls *Links
	// dropped is set when an event was dropped because the buffer was full. The receiver then
	// asks the agent to resend the unacknowledged frames.
	dropped atomic.Bool
}

// deliver queues an event without blocking, or drops it if the buffer is full.
func (at *Attempt) deliver(ev Event) {
	select {
	case at.Events <- ev:
	default:
		at.dropped.Store(true)
	}
}

// TakeDropped reports whether events were dropped since the last call.
func (at *Attempt) TakeDropped() bool { return at.dropped.Swap(false) }

// Acknowledge acknowledges all chunks up to the given sequence number. With replay it also asks
// the agent to resend the unacknowledged frames.
func (at *Attempt) Acknowledge(ctx context.Context, received uint64, replay bool) {
	at.ls.send(ctx, at.Runner, at.Boot, &wire.Frame{Credit: &wire.Credit{Attempt: at.ID, Received: received, Replay: replay}})
}

// Cancel tells the agent that nobody waits for the answer of the attempt any more.
func (at *Attempt) Cancel(ctx context.Context) {
	at.ls.send(ctx, at.Runner, at.Boot, &wire.Frame{Cancel: &wire.Cancel{Attempt: at.ID}})
}

// Void asks the agent to prevent the attempt from running if it has not started. The agent's
// verdict arrives as an event. Void returns false if that run of the agent is not connected.
func (at *Attempt) Void(ctx context.Context, claimedAt int64) bool {
	return at.ls.send(ctx, at.Runner, at.Boot, &wire.Frame{Void: &wire.Void{Attempt: at.ID, Boot: at.Boot, ClaimedAt: claimedAt}})
}

// Close stops the delivery of events to the attempt.
func (at *Attempt) Close() {
	at.ls.mu.Lock()
	defer at.ls.mu.Unlock()
	delete(at.ls.attempts, at.ID)
}
