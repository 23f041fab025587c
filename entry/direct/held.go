package direct

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/entry/internal/memory"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// defaultAnswerHoldBytes is the default bound of what is held of one answer before it is delivered.
	defaultAnswerHoldBytes = 1 << 20
	// defaultAnswersHoldBytes is the default bound of what is held of all answers together.
	defaultAnswersHoldBytes = 16 << 20
	// freeEventBytes is the size up to which an event of a stream does not count.
	freeEventBytes = 64 << 10
	// firstHoldBytes is the size of the first buffer of an answer of unknown length.
	firstHoldBytes = 4 << 10
)

// heldBytes counts the bytes that the node holds of answers. What exceeds its bounds is passed on to the
// callers as it arrives. The zero value has the default bounds.
type heldBytes struct {
	mu   sync.Mutex
	held int
	// eachMax and allMax are the bounds for one answer and for all of them, zero for the defaults.
	eachMax, allMax int
	// budget is the memory of the node for its callers, nil for no further bound.
	budget *memory.Budget
}

// take counts bytes for an answer that already holds some, and reports whether the bounds allow it.
func (hb *heldBytes) take(count, holds int) bool {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	if holds+count > orDefault(hb.eachMax, defaultAnswerHoldBytes) || hb.held+count > orDefault(hb.allMax, defaultAnswersHoldBytes) {
		return false
	}
	if hb.budget != nil && !hb.budget.Take(int64(count)) {
		return false
	}
	hb.held += count
	metricHeldBytes.Set(int64(hb.held))
	return true
}

// release subtracts bytes that are not held any more.
func (hb *heldBytes) release(count int) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.held -= count
	if hb.budget != nil {
		hb.budget.Release(int64(count))
	}
	metricHeldBytes.Set(int64(hb.held))
}

// orDefault returns a value, or the default if it is zero.
func orDefault(value, def int) int {
	if value == 0 {
		return def
	}
	return value
}

// read reads an answer's body until its end or until the bounds are reached. It returns what it has read
// and whether that is all. The caller must release the capacity of what it returns.
func (hb *heldBytes) read(an *pool.Answer) ([]byte, bool, error) {
	data := []byte(nil)
	for {
		if len(data) == cap(data) {
			grown, ok := hb.grow(data, an.Length())
			if !ok {
				return data, false, nil
			}
			data = grown
		}
		count, err := an.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}

// grow returns a copy of data with room for more, or false if the bounds do not allow that. The first one
// has room for the whole answer if its length is known, and for the end of it.
func (hb *heldBytes) grow(data []byte, length int64) ([]byte, bool) {
	size := max(firstHoldBytes, 2*cap(data))
	if length >= 0 && length < defaultMaxBodyBytes && cap(data) == 0 {
		size = int(length) + 1
	}
	if !hb.take(size-cap(data), cap(data)) {
		return nil, false
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, true
}

// eventHold counts the buffer for the events of one stream.
type eventHold struct {
	hb    *heldBytes
	taken int
	// free is the part of the buffer that does not count for the answers, but for the budget.
	free int
}

// allows reports whether the bounds allow an event of a size, in bytes.
func (eh *eventHold) allows(size int) bool {
	eh.countFree(min(size, freeEventBytes))
	if size <= freeEventBytes+eh.taken {
		return true
	}
	if !eh.hb.take(freeEventBytes, eh.taken) {
		return false
	}
	eh.taken += freeEventBytes
	return true
}

// countFree counts the part of the buffer that every stream may have. It takes memory from large bodies, never
// from the stream.
func (eh *eventHold) countFree(size int) {
	if size <= eh.free || eh.hb.budget == nil {
		return
	}
	grown := max(eventBufferBytes, eh.free)
	for grown < size {
		grown *= 2
	}
	eh.hb.budget.Count(int64(grown - eh.free))
	eh.free = grown
}

// release ends the count of the stream's buffer.
func (eh *eventHold) release() {
	eh.hb.release(eh.taken)
	if eh.free > 0 {
		eh.hb.budget.Release(int64(eh.free))
	}
}
