package output

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	testChunks  = 40
	testOutputs = 300
)

// connection records the frames that are sent over it.
type connection struct {
	// received is the number of chunks that the entry node had when the connection was attached.
	received uint64

	mu     sync.Mutex
	frames []*wire.Frame
}

func (co *connection) Send(_ context.Context, frames ...*wire.Frame) error {
	for _, fr := range frames {
		runtime.Gosched()
		co.mu.Lock()
		co.frames = append(co.frames, fr)
		co.mu.Unlock()
	}
	return nil
}

// sent returns the frames so far.
func (co *connection) sent() []*wire.Frame {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.frames[:len(co.frames):len(co.frames)]
}

// check returns the number of the last chunk and whether the end came, or an error if the frames are not
// in order: the head before the first chunk, chunks without gaps, the end last.
func (co *connection) check() (uint64, bool, error) {
	last, head, end := co.received, co.received > 0, false
	for _, fr := range co.sent() {
		switch {
		case end:
			return last, end, fmt.Errorf("a frame after the end: %+v", fr)
		case fr.Head != nil:
			head = true
		case fr.Chunk != nil && (!head || fr.Chunk.Sequence != last+1):
			return last, end, fmt.Errorf("chunk %d after chunk %d, head sent: %v", fr.Chunk.Sequence, last, head)
		case fr.Chunk != nil:
			last++
		case fr.End != nil && fr.End.Count != last:
			return last, end, fmt.Errorf("the end names %d chunks after chunk %d", fr.End.Count, last)
		case fr.End != nil:
			end = true
		}
	}
	return last, end, nil
}

// An entry node that connects again and again while an answer is sent must get, over each connection, the
// frames that it lacks in their order, and over the last one the end.
func TestEachConnectionGetsItsFramesInOrderAndTheLastOneTheEnd(t *testing.T) {
	for round := range testOutputs {
		synctest.Test(t, func(t *testing.T) { reconnect(t, round) })
	}
}

// reconnect sends one answer over connections that are replaced again and again, and checks what each one got.
func reconnect(t *testing.T, round int) {
	t.Helper()
	ctx := t.Context()
	connections := []*connection{{}}
	ou := New("a-1", 0, true, connections[0])
	ou.Head(200, "text/plain", "")
	producer := sync.WaitGroup{}
	producer.Go(func() {
		for number := range testChunks {
			if err := ou.Chunk(ctx, []byte{byte(number)}); err != nil {
				t.Error(err)
			}
		}
		if err := ou.Finish(ctx, []byte("last")); err != nil {
			t.Error(err)
		}
	})
	received := uint64(0)
	for ended := false; !ended; runtime.Gosched() {
		co := connections[len(connections)-1]
		last, _, err := co.check()
		if err != nil {
			t.Fatalf("round %d, connection %d, %d chunks received before: %v", round, len(connections), co.received, err)
		}
		received = max(received, last)
		ou.Acknowledge(received)
		ended = received > testChunks
		next := &connection{received: received}
		if !ou.Attach(ctx, next, received) {
			t.Fatalf("round %d: no replay after chunk %d", round, received)
		}
		connections = append(connections, next)
	}
	producer.Wait()
	checkAll(t, round, connections)
}

// checkAll checks all connections once nothing is sent any more.
func checkAll(t *testing.T, round int, connections []*connection) {
	t.Helper()
	synctest.Wait()
	if _, ended, _ := connections[len(connections)-1].check(); !ended {
		t.Errorf("round %d: the last of %d connections got no end", round, len(connections))
	}
	for ix, co := range connections {
		if _, _, err := co.check(); err != nil {
			t.Errorf("round %d, connection %d: %v", round, ix, err)
		}
	}
}
