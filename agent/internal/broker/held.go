package broker

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/reply"
)

const (
	// heldBytesMax bounds what the agent holds of all answers of its engine together, beyond heldFreeBytes of each.
	heldBytesMax  = 64 << 20
	heldFreeBytes = 64 << 10
)

// errNotHeld means that an answer is so long that the agent has no room for it beside the others.
var errNotHeld = errors.New("broker: the answers that the engine sends at the same time are too long to be held; look at what it sends")

// holdings counts what the agent holds of answers. The zero value is empty.
type holdings struct {
	mu   sync.Mutex
	held int
	// growing holds the answers that have not arrived whole.
	growing map[*holding]struct{}
}

// holding is what the agent holds of one answer.
type holding struct {
	hs *holdings
	// bytes is the size of the answer's buffer.
	bytes int
	// end ends the request. It is called with errNotHeld if others need the room.
	end context.CancelCauseFunc
	// ended is true if the answer has lost its room.
	ended bool
}

// open returns the holding of an answer, which is empty, and the context of its request. The holding must be released.
func (hs *holdings) open(ctx context.Context) (*holding, context.Context) {
	ctx, end := context.WithCancelCause(ctx)
	ho := &holding{hs: hs, end: end}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if hs.growing == nil {
		hs.growing = map[*holding]struct{}{}
	}
	hs.growing[ho] = struct{}{}
	return ho, ctx
}

// counted returns what counts of a buffer.
func counted(bytes int) int { return max(0, bytes-heldFreeBytes) }

// grow makes room for a buffer of a size in bytes, and reports whether there is some. Longer answers give up theirs. A buffer does
// not become smaller.
func (ho *holding) grow(bytes int) bool {
	hs := ho.hs
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if ho.ended {
		return false
	}
	bytes = max(bytes, ho.bytes)
	for hs.held+counted(bytes)-counted(ho.bytes) > heldBytesMax {
		longest := hs.longest()
		if longest == nil || longest.bytes <= bytes {
			return false
		}
		longest.ended = true
		longest.end(errNotHeld)
		hs.remove(longest)
	}
	hs.held += counted(bytes) - counted(ho.bytes)
	ho.bytes = bytes
	return true
}

// longest returns the longest answer that has not arrived whole, nil if there is none. The lock must be held.
func (hs *holdings) longest() *holding {
	longest := (*holding)(nil)
	for ho := range hs.growing {
		if longest == nil || ho.bytes > longest.bytes {
			longest = ho
		}
	}
	return longest
}

// remove gives the room of an answer back. The lock must be held.
func (hs *holdings) remove(ho *holding) {
	hs.held -= counted(ho.bytes)
	ho.bytes = 0
	delete(hs.growing, ho)
}

// whole records that the answer has arrived whole, so that it keeps its room until it is released.
func (ho *holding) whole() {
	ho.hs.mu.Lock()
	defer ho.hs.mu.Unlock()
	delete(ho.hs.growing, ho)
}

// release gives the room back and ends the context of the request.
func (ho *holding) release() {
	ho.hs.mu.Lock()
	defer ho.hs.mu.Unlock()
	ho.hs.remove(ho)
	ho.end(nil)
}

// readWhole reads a body. It fails if the body has more than the given number of bytes, as a part of it must not pass for the
// whole, or if it has no room.
func (ho *holding) readWhole(rd io.Reader, bytesMax int) ([]byte, error) {
	data, err := reply.ReadAll(rd, bytesMax, ho.grow)
	if err != nil {
		return nil, errors.Wrap(err, "broker: read answer")
	}
	ho.whole()
	return data, nil
}
