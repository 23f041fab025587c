package output

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	windowDefault = 16
	windowMax     = 64
	// partBytes bounds one part of a whole answer.
	partBytes = 16 << 10
	// keepBytes bounds the answer that is kept whole for a later replay.
	keepBytes = 64 << 10
)

// Sender carries frames to an entry node.
type Sender interface {
	Send(ctx context.Context, frames ...*wire.Frame) error
}

// Output is the answer of one attempt.
type Output struct {
	attempt string
	window  int
	keep    bool
	room    chan struct{}

	mu       sync.Mutex
	sender   Sender
	detached time.Time
	head     *wire.Frame
	headDue  bool
	chunks   []*wire.Frame
	first    uint64
	sent     uint64
	acked    uint64
	bytes    int
	end      *wire.Frame
	endAcked bool
}

// New returns the output of an attempt; with keep set a short answer is held whole after it was acknowledged.
func New(attempt string, window int, keep bool, se Sender) *Output {
	if window <= 0 {
		window = windowDefault
	}
	return &Output{
		attempt: attempt, window: min(window, windowMax), keep: keep, sender: se,
		room: make(chan struct{}, 1), first: 1,
	}
}

// Head sets the status of the answer; it is sent with the first part or the end.
func (ou *Output) Head(status int, contentType string) {
	fr := &wire.Frame{Head: &wire.Head{Attempt: ou.attempt, Status: status, ContentType: contentType}}
	ou.mu.Lock()
	defer ou.mu.Unlock()
	ou.head = fr
	ou.headDue = true
}

// Chunk sends a part of the answer; it waits while the entry node holds as many parts as it can.
func (ou *Output) Chunk(ctx context.Context, data []byte) error {
	se, frames, err := ou.addWhenRoom(ctx, data)
	if err != nil {
		return err
	}
	ou.send(ctx, se, frames...)
	return nil
}

// addWhenRoom appends a chunk once the window has room and returns what to send.
func (ou *Output) addWhenRoom(ctx context.Context, data []byte) (Sender, []*wire.Frame, error) {
	for {
		if se, frames := ou.add(data); frames != nil {
			return se, frames, nil
		}
		select {
		case <-ou.room:
		case <-ctx.Done():
			return nil, nil, errors.Wrap(ctx.Err(), "output: wait for the entry node")
		}
	}
}

// add appends a chunk if the window has room.
func (ou *Output) add(data []byte) (Sender, []*wire.Frame) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if int(ou.sent-ou.acked) >= ou.window {
		return nil, nil
	}
	ou.sent++
	ou.bytes += len(data)
	fr := &wire.Frame{Chunk: &wire.Chunk{Attempt: ou.attempt, Sequence: ou.sent, Data: data}}
	ou.chunks = append(ou.chunks, fr)
	return ou.sender, append(ou.dueHead(), fr)
}

// dueHead returns the head if it has not been sent.
func (ou *Output) dueHead() []*wire.Frame {
	if !ou.headDue {
		return nil
	}
	ou.headDue = false
	return []*wire.Frame{ou.head}
}

// Whole sends a whole answer together if it fits into one part, or part by part.
func (ou *Output) Whole(ctx context.Context, data []byte) error {
	for len(data) > partBytes {
		if err := ou.Chunk(ctx, data[:partBytes]); err != nil {
			return err
		}
		data = data[partBytes:]
	}
	se, frames, err := ou.addWhenRoom(ctx, data)
	if err != nil {
		return err
	}
	ou.mu.Lock()
	frames = append(frames, ou.endFrame(true, "", ""))
	ou.mu.Unlock()
	ou.send(ctx, se, frames...)
	return nil
}

// endFrame makes the end of the answer.
func (ou *Output) endFrame(whole bool, reason, crash string) *wire.Frame {
	ou.end = &wire.Frame{End: &wire.End{
		Attempt: ou.attempt, Count: ou.sent, Whole: whole, Reason: reason, Crash: crash,
	}}
	return ou.end
}

// End closes the answer; crash identifies the engine's crash that ended it, or is empty.
func (ou *Output) End(ctx context.Context, whole bool, reason, crash string) {
	ou.mu.Lock()
	frames := append(ou.dueHead(), ou.endFrame(whole, reason, crash))
	se := ou.sender
	ou.mu.Unlock()
	ou.send(ctx, se, frames...)
}

// Refuse says over the present connection that the attempt has not run and will not run.
func (ou *Output) Refuse(ctx context.Context, reason string, wait time.Duration) {
	fr := &wire.Frame{Refusal: &wire.Refusal{Attempt: ou.attempt, Reason: reason, RetryAfter: wait.Milliseconds()}}
	ou.mu.Lock()
	se := ou.sender
	ou.mu.Unlock()
	go ou.send(ctx, se, fr)
}

// Acknowledge drops the chunks that the entry node has; one above the number of chunks acknowledges the end.
func (ou *Output) Acknowledge(received uint64) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.end != nil && received == ou.sent+1 {
		ou.endAcked = true
		received = ou.sent
	}
	if received > ou.acked && received <= ou.sent {
		ou.acked = received
	}
	if !ou.keep || ou.bytes > keepBytes {
		for ou.first <= ou.acked && len(ou.chunks) > 0 {
			ou.chunks[0] = nil
			ou.chunks = ou.chunks[1:]
			ou.first++
		}
		if len(ou.chunks) == 0 {
			ou.chunks = nil
		}
	}
	select {
	case ou.room <- struct{}{}:
	default:
	}
}

// Attach sends over another connection what the entry node does not have, and
// tells whether all of it is still held.
func (ou *Output) Attach(ctx context.Context, se Sender, received uint64) bool {
	ou.mu.Lock()
	if received+1 < ou.first {
		ou.mu.Unlock()
		return false
	}
	ou.sender = se
	ou.detached = time.Time{}
	frames := make([]*wire.Frame, 0, len(ou.chunks)+2)
	if ou.head != nil && received == 0 {
		frames = append(frames, ou.head)
	}
	for _, fr := range ou.chunks {
		if fr.Chunk.Sequence > received {
			frames = append(frames, fr)
		}
	}
	if ou.end != nil {
		frames = append(frames, ou.end)
	}
	ou.headDue = false
	ou.mu.Unlock()
	ou.send(ctx, se, frames...)
	return true
}

// Detach records that the connection was lost.
func (ou *Output) Detach(se Sender, now time.Time) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.sender == se {
		ou.sender = nil
		ou.detached = now
	}
}

// DetachedSince returns when the connection was lost, or the zero time while there is one.
func (ou *Output) DetachedSince() time.Time {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.detached
}

// Delivered tells whether the end of the answer was acknowledged.
func (ou *Output) Delivered() bool {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.endAcked
}

// send passes frames on; a failed send is made good by a replay.
func (ou *Output) send(ctx context.Context, se Sender, frames ...*wire.Frame) {
	if se != nil && len(frames) > 0 {
		_ = se.Send(ctx, frames...)
	}
}
