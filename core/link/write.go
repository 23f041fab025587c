package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/bambooladder/bambooladder/core/wire"
)

// Send writes frames in their order, behind those that wait, and fails once the
// connection is closed. Where nobody writes, the caller does, for itself and for
// those who come while it writes.
func (co *Conn) Send(ctx context.Context, frames ...*wire.Frame) error {
	select {
	case co.room <- struct{}{}:
	case <-co.done:
		return errors.New("link: the connection is closed")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "link: send")
	}
	if co.queue(frames) {
		co.writeWaiting()
	}
	return nil
}

// TrySend queues a frame for the background writer unless the queue is full.
func (co *Conn) TrySend(fr *wire.Frame) bool {
	select {
	case co.room <- struct{}{}:
	default:
		return false
	}
	co.mu.Lock()
	co.waiting = append(co.waiting, []*wire.Frame{fr})
	co.mu.Unlock()
	select {
	case co.wake <- struct{}{}:
	default:
	}
	return true
}

// queue appends a batch, if there is one, and tells whether the caller is to write.
func (co *Conn) queue(frames []*wire.Frame) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if frames != nil {
		co.waiting = append(co.waiting, frames)
	}
	if co.writing {
		return false
	}
	co.writing = true
	return true
}

// writeWaiting writes until nothing waits; a failed write ends the connection.
func (co *Conn) writeWaiting() {
	for {
		batches, ok := co.takeWaiting()
		if !ok {
			return
		}
		if err := co.writeTimed(co.ctx, batches); err != nil {
			_ = co.ws.CloseNow()
			return
		}
	}
}

// takeWaiting takes the batches that wait, or ends the writing where there are none.
func (co *Conn) takeWaiting() ([][]*wire.Frame, bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if len(co.waiting) == 0 {
		co.writing = false
		return nil, false
	}
	batches := co.waiting
	co.waiting = nil
	return batches, true
}

// write writes what TrySend queued.
func (co *Conn) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-co.wake:
			if co.queue(nil) {
				co.writeWaiting()
			}
		}
	}
}

// writeTimed writes batches in as few messages as their size allows and bounds the
// time of each, so that a peer that reads nothing is given up.
func (co *Conn) writeTimed(ctx context.Context, batches [][]*wire.Frame) error {
	for len(batches) > 0 {
		co.encoded.Reset()
		for len(batches) > 0 && co.encoded.Len() < messageBytes {
			for _, fr := range batches[0] {
				if err := wire.Append(&co.encoded, fr); err != nil {
					return err
				}
			}
			batches = batches[1:]
			<-co.room
		}
		timed, cancel := context.WithTimeout(ctx, writeTimeout)
		err := co.ws.Write(timed, websocket.MessageBinary, co.encoded.Bytes())
		cancel()
		if err != nil {
			return errors.Wrap(err, "link: write")
		}
	}
	return nil
}
