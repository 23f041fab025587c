package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/bambooladder/bambooladder/core/wire"
)

// Send queues frames as one batch, in order and behind the batches already queued. It blocks while
// the queue is full and fails once the connection is closed or ctx is canceled. If no other goroutine
// is writing, the caller writes the queue until it is empty, including batches that others add
// meanwhile; ctx does not limit this. A nil error does not mean that the frames were written.
func (co *Conn) Send(ctx context.Context, frames ...*wire.Frame) error {
	select {
	case co.queueSlots <- struct{}{}:
	case <-co.done:
		return errors.New("link: the connection is closed")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "link: send")
	}
	if co.enqueue(frames) {
		co.writeQueued()
	}
	return nil
}

// TrySend queues a frame for the background writer. It never blocks, and returns false if the queue
// is full.
func (co *Conn) TrySend(fr *wire.Frame) bool { return co.TrySendBatch([]*wire.Frame{fr}) }

// TrySendBatch is TrySend for frames that belong together; they take one place in the queue.
func (co *Conn) TrySendBatch(frames []*wire.Frame) bool {
	select {
	case co.queueSlots <- struct{}{}:
	default:
		return false
	}
	co.mu.Lock()
	co.queued = append(co.queued, frames)
	co.mu.Unlock()
	select {
	case co.wake <- struct{}{}:
	default:
	}
	return true
}

// enqueue adds a batch to the queue, unless it is nil. It returns true if no goroutine is writing;
// the caller must then call writeQueued.
func (co *Conn) enqueue(frames []*wire.Frame) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if frames != nil {
		co.queued = append(co.queued, frames)
	}
	if co.writing {
		return false
	}
	co.writing = true
	return true
}

// writeQueued writes until the queue is empty. After an error it closes the connection and leaves
// writing set, so that nothing more is written.
func (co *Conn) writeQueued() {
	for {
		batches, ok := co.takeQueued()
		if !ok {
			return
		}
		if err := co.writeBatches(co.context(), batches); err != nil {
			_ = co.ws.CloseNow()
			return
		}
	}
}

// takeQueued removes all batches from the queue and returns them. If the queue is empty, it marks
// the writing as finished and returns false.
func (co *Conn) takeQueued() ([][]*wire.Frame, bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if len(co.queued) == 0 {
		co.writing = false
		return nil, false
	}
	batches := co.queued
	co.queued = nil
	return batches, true
}

// writeQueuedOnWake writes the queue whenever TrySend has added a frame, until the context is
// canceled.
func (co *Conn) writeQueuedOnWake(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-co.wake:
			if co.enqueue(nil) {
				co.writeQueued()
			}
		}
	}
}

// writeBatches packs the batches into as few WebSocket messages as messageBytesTarget allows and
// writes them.
// Each write has a timeout, so that the connection to a peer that stops reading is closed.
func (co *Conn) writeBatches(ctx context.Context, batches [][]*wire.Frame) error {
	for len(batches) > 0 {
		co.encoded.Reset()
		for len(batches) > 0 && co.encoded.Len() < messageBytesTarget {
			for _, fr := range batches[0] {
				if err := wire.Append(&co.encoded, fr); err != nil {
					return err
				}
			}
			batches = batches[1:]
			<-co.queueSlots
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := co.ws.Write(writeCtx, websocket.MessageBinary, co.encoded.Bytes())
		cancel()
		if err != nil {
			return errors.Wrap(err, "link: write")
		}
	}
	return nil
}
