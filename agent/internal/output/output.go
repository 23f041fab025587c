package output

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// windowDefault is the number of unacknowledged chunks allowed if the entry node's Dispatch frame
	// sets no window.
	windowDefault = 16
	// windowMax bounds the number of unacknowledged chunks that an entry node can ask for.
	windowMax = 64
	// chunkBytesMax bounds a chunk of data that Finish sends.
	chunkBytesMax = 16 << 10
	// keptAnswerBytesMax bounds an answer whose acknowledged chunks are kept for a later replay.
	keptAnswerBytesMax = 64 << 10
)

// Sender sends frames to an entry node.
type Sender interface {
	Send(ctx context.Context, frames ...*wire.Frame) error
}

// Output is the answer of one attempt. Its chunks are numbered from 1.
type Output struct {
	attempt string
	// window is the number of unacknowledged chunks that the entry node can buffer.
	window int
	// keepAcked is true if acknowledged chunks are kept, up to keptAnswerBytesMax.
	keepAcked bool
	// acknowledged gets a value after each acknowledgement, to wake the goroutine that waits for room
	// in the window.
	acknowledged chan struct{}

	mu sync.Mutex
	// sender is the entry node's connection, nil while there is none.
	sender Sender
	// detachedAt is when the connection was lost, zero while there is one.
	detachedAt time.Time
	head       *wire.Frame
	// headUnsent is true if the head was set and has not been sent.
	headUnsent bool
	// chunks holds the chunks that can be sent again; firstKept is the number of the first one.
	chunks    []*wire.Frame
	firstKept uint64
	// added is the number of chunks added so far, acked the number of those acknowledged.
	added uint64
	acked uint64
	// totalBytes is the size of all chunks added so far.
	totalBytes int
	end        *wire.Frame
	endAcked   bool
}

// New returns the output of an attempt. If keepAcked is set, a short answer is kept whole after it was
// acknowledged.
func New(attempt string, window int, keepAcked bool, se Sender) *Output {
	if window <= 0 {
		window = windowDefault
	}
	return &Output{
		attempt: attempt, window: min(window, windowMax), keepAcked: keepAcked, sender: se,
		acknowledged: make(chan struct{}, 1), firstKept: 1,
	}
}

// Head sets the status and the content type of the answer. They are sent with the first chunk or the
// end.
func (ou *Output) Head(status int, contentType string) {
	fr := &wire.Frame{Head: &wire.Head{Attempt: ou.attempt, Status: status, ContentType: contentType}}
	ou.mu.Lock()
	defer ou.mu.Unlock()
	ou.head = fr
	ou.headUnsent = true
}

// Chunk sends a chunk of the answer. It blocks while the number of unacknowledged chunks equals the
// window.
func (ou *Output) Chunk(ctx context.Context, data []byte) error {
	se, frames, err := ou.addWhenWindowOpen(ctx, data)
	if err != nil {
		return err
	}
	ou.send(ctx, se, frames...)
	return nil
}

// addWhenWindowOpen adds a chunk once the window has room. It returns the connection and the frames
// to send over it.
func (ou *Output) addWhenWindowOpen(ctx context.Context, data []byte) (Sender, []*wire.Frame, error) {
	for {
		if se, frames := ou.tryAdd(data); frames != nil {
			return se, frames, nil
		}
		select {
		case <-ou.acknowledged:
		case <-ctx.Done():
			return nil, nil, errors.Wrap(ctx.Err(), "output: wait for an acknowledgement of the entry node")
		}
	}
}

// tryAdd adds a chunk if the window has room; otherwise it returns no frames.
func (ou *Output) tryAdd(data []byte) (Sender, []*wire.Frame) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if int(ou.added-ou.acked) >= ou.window {
		return nil, nil
	}
	ou.added++
	ou.totalBytes += len(data)
	fr := &wire.Frame{Chunk: &wire.Chunk{Attempt: ou.attempt, Sequence: ou.added, Data: data}}
	ou.chunks = append(ou.chunks, fr)
	return ou.sender, append(ou.takeHead(), fr)
}

// takeHead returns the head if it has not been sent, and marks it as sent. The caller holds the lock.
func (ou *Output) takeHead() []*wire.Frame {
	if !ou.headUnsent {
		return nil
	}
	ou.headUnsent = false
	return []*wire.Frame{ou.head}
}

// Finish sends the data that remains of the answer, in chunks of at most chunkBytesMax, and the end
// of a complete answer together with the last chunk.
func (ou *Output) Finish(ctx context.Context, data []byte) error {
	for len(data) > chunkBytesMax {
		if err := ou.Chunk(ctx, data[:chunkBytesMax]); err != nil {
			return err
		}
		data = data[chunkBytesMax:]
	}
	se, frames, err := ou.addWhenWindowOpen(ctx, data)
	if err != nil {
		return err
	}
	ou.mu.Lock()
	frames = append(frames, ou.makeEnd(true, "", ""))
	ou.mu.Unlock()
	ou.send(ctx, se, frames...)
	return nil
}

// makeEnd creates and stores the frame that ends the answer. The caller holds the lock.
func (ou *Output) makeEnd(whole bool, reason, crash string) *wire.Frame {
	ou.end = &wire.Frame{End: &wire.End{
		Attempt: ou.attempt, Count: ou.added, Whole: whole, Reason: reason, Crash: crash,
	}}
	return ou.end
}

// End sends the end of the answer. If the answer is incomplete, whole is false, reason says why, and
// crash identifies the crashed engine process, as returned by crashID in package broker, or is empty.
func (ou *Output) End(ctx context.Context, whole bool, reason, crash string) {
	ou.mu.Lock()
	frames := append(ou.takeHead(), ou.makeEnd(whole, reason, crash))
	se := ou.sender
	ou.mu.Unlock()
	ou.send(ctx, se, frames...)
}

// Refuse informs the entry node over the current connection, without blocking, that the attempt has
// not run and will not run.
func (ou *Output) Refuse(ctx context.Context, reason string, retryAfter time.Duration) {
	fr := &wire.Frame{Refusal: &wire.Refusal{Attempt: ou.attempt, Reason: reason, RetryAfter: retryAfter.Milliseconds()}}
	ou.mu.Lock()
	se := ou.sender
	ou.mu.Unlock()
	go ou.send(ctx, se, fr)
}

// Acknowledge records that the entry node has received all chunks up to a number and removes those
// that need not be kept. A number one above that of the last chunk acknowledges the end of the answer.
func (ou *Output) Acknowledge(received uint64) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.end != nil && received == ou.added+1 {
		ou.endAcked = true
		received = ou.added
	}
	if received > ou.acked && received <= ou.added {
		ou.acked = received
	}
	if !ou.keepAcked || ou.totalBytes > keptAnswerBytesMax {
		for ou.firstKept <= ou.acked && len(ou.chunks) > 0 {
			ou.chunks[0] = nil
			ou.chunks = ou.chunks[1:]
			ou.firstKept++
		}
		if len(ou.chunks) == 0 {
			ou.chunks = nil
		}
	}
	select {
	case ou.acknowledged <- struct{}{}:
	default:
	}
}

// Attach switches to another connection and sends over it the frames that the entry node has not
// received. It does nothing and returns false if some of them are no longer kept.
func (ou *Output) Attach(ctx context.Context, se Sender, received uint64) bool {
	ou.mu.Lock()
	if received+1 < ou.firstKept {
		ou.mu.Unlock()
		return false
	}
	ou.sender = se
	ou.detachedAt = time.Time{}
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
	ou.headUnsent = false
	ou.mu.Unlock()
	ou.send(ctx, se, frames...)
	return true
}

// Detach records that a connection was lost, if it is the one in use.
func (ou *Output) Detach(se Sender, now time.Time) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.sender == se {
		ou.sender = nil
		ou.detachedAt = now
	}
}

// DetachedSince returns when the connection was lost, or the zero time while it is open.
func (ou *Output) DetachedSince() time.Time {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.detachedAt
}

// Delivered reports whether the end of the answer was acknowledged.
func (ou *Output) Delivered() bool {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.endAcked
}

// send sends frames if there is a connection. An error is ignored, because the entry node asks for a
// replay once it has connected again.
func (ou *Output) send(ctx context.Context, se Sender, frames ...*wire.Frame) {
	if se != nil && len(frames) > 0 {
		_ = se.Send(ctx, frames...)
	}
}
