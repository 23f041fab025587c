package output

import (
	"context"
	"sync"

	"github.com/bambooladder/bambooladder/core/wire"
)

// queue holds the frames that wait to be sent over one connection. Frames are sent in the order in which
// they were added, by one goroutine at a time. Without a sender, frames are dropped.
type queue struct {
	sender Sender

	mu      sync.Mutex
	frames  []*wire.Frame
	sending bool
}

// add appends frames. They are sent by the next call of send.
func (qu *queue) add(frames ...*wire.Frame) {
	if qu.sender == nil {
		return
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.frames = append(qu.frames, frames...)
}

// send sends the frames that wait, unless another call is doing so. An error is ignored, because the entry
// node asks for a replay once it has connected again.
func (qu *queue) send(ctx context.Context) {
	for frames := qu.start(); len(frames) > 0; frames = qu.next() {
		_ = qu.sender.Send(ctx, frames...)
	}
}

// start returns the frames that wait, or none if another call sends them.
func (qu *queue) start() []*wire.Frame {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.sending {
		return nil
	}
	return qu.take()
}

// next returns the frames that were added meanwhile.
func (qu *queue) next() []*wire.Frame {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.take()
}

// take removes the frames that wait. The caller holds the lock.
func (qu *queue) take() []*wire.Frame {
	frames := qu.frames
	qu.frames = nil
	qu.sending = len(frames) > 0
	return frames
}
