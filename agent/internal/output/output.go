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
	// frames holds the frames that wait to be sent over the entry node's connection.
	frames *queue
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
		attempt: attempt, window: min(window, windowMax), keepAcked: keepAcked, frames: &queue{sender: se},
		acknowledged: make(chan struct{}, 1), firstKept: 1,
	}
}

// Head sets the status and the content type of the answer, and the software version of the engine that sends
// it. They are sent with the first chunk or the end.
func (ou *Output) Head(status int, contentType, software string) {
	fr := &wire.Frame{Head: &wire.Head{Attempt: ou.attempt, Status: status, ContentType: contentType, Software: software}}
	ou.mu.Lock()
	defer ou.mu.Unlock()
	ou.head = fr
	ou.headUnsent = true
}

// Chunk sends a chunk of the answer. It blocks while the number of unacknowledged chunks equals the
// window.
func (ou *Output) Chunk(ctx context.Context, data []byte) error {
	return ou.addWhenWindowOpen(ctx, data, false)
}

// addWhenWindowOpen adds a chunk once the window has room, together with the end of the answer if it is
// the last one, and sends it.
func (ou *Output) addWhenWindowOpen(ctx context.Context, data []byte, last bool) error {
	for {
		if qu := ou.tryAdd(data, last); qu != nil {
			qu.send(ctx)
			return nil
		}
		select {
		case <-ou.acknowledged:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "output: wait for an acknowledgement of the entry node")
		}
	}
}

// tryAdd adds a chunk if the window has room, and returns the queue with it, otherwise nil.
func (ou *Output) tryAdd(data []byte, last bool) *queue {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if int(ou.added-ou.acked) >= ou.window {
		return nil
	}
	ou.added++
	ou.totalBytes += len(data)
	fr := &wire.Frame{Chunk: &wire.Chunk{Attempt: ou.attempt, Sequence: ou.added, Data: data}}
	ou.chunks = append(ou.chunks, fr)
	ou.frames.add(ou.takeHead()...)
	ou.frames.add(fr)
	if last {
		ou.frames.add(ou.makeEnd(true, "", ""))
	}
	return ou.frames
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
	return ou.addWhenWindowOpen(ctx, data, true)
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
	qu := ou.frames
	qu.add(ou.takeHead()...)
	qu.add(ou.makeEnd(whole, reason, crash))
	ou.mu.Unlock()
	qu.send(ctx)
}

// Refuse informs the entry node over the current connection, without blocking, that the attempt has
// not run and will not run.
func (ou *Output) Refuse(ctx context.Context, reason string, retryAfter time.Duration) {
	fr := &wire.Frame{Refusal: &wire.Refusal{Attempt: ou.attempt, Reason: reason, RetryAfter: retryAfter.Milliseconds()}}
	ou.mu.Lock()
	qu := ou.frames
	qu.add(fr)
	ou.mu.Unlock()
	go qu.send(ctx)
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

// Attach switches to another connection and sends over it, without blocking, the frames that the entry
// node has not received. It does nothing and returns false if some of them are no longer kept.
func (ou *Output) Attach(ctx context.Context, se Sender, received uint64) bool {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if received+1 < ou.firstKept {
		return false
	}
	qu := &queue{sender: se}
	if ou.head != nil && received == 0 {
		qu.add(ou.head)
	}
	for _, fr := range ou.chunks {
		if fr.Chunk.Sequence > received {
			qu.add(fr)
		}
	}
	if ou.end != nil {
		qu.add(ou.end)
	}
	ou.frames = qu
	ou.detachedAt = time.Time{}
	ou.headUnsent = false
	go qu.send(ctx)
	return true
}

// Detach records that a connection was lost, if it is the one in use.
func (ou *Output) Detach(se Sender, now time.Time) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.frames.sender == se {
		ou.frames = &queue{}
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
