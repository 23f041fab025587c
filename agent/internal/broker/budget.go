package broker

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/reply"
)

const (
	// budgetBytes is the size of the answerBudget. freeBytes is the part of each buffer that does not count.
	budgetBytes = 64 << 20
	freeBytes   = 64 << 10
)

// errOverBudget means that the answers that the engine sends at the same time do not fit into the budget.
var errOverBudget = errors.New("broker: the answers of the engine need too much memory; look at what it sends")

// answerBudget limits the memory of the answers that must be whole before they are passed on. The zero value is ready to use.
type answerBudget struct {
	mu   sync.Mutex
	used int
	// receiving holds the buffers of answers that have not arrived whole.
	receiving map[*answerBuffer]struct{}
}

// answerBuffer is the share of an answerBudget that one answer uses.
type answerBuffer struct {
	budget *answerBudget
	// bytes is the size of the buffer.
	bytes int
	// cancel cancels the request, with errOverBudget if a smaller answer needs the memory.
	cancel context.CancelCauseFunc
	// evicted is true once the memory was taken away.
	evicted bool
}

// open returns an empty buffer, which must be released, and the context of its request.
func (ab *answerBudget) open(ctx context.Context) (*answerBuffer, context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	bu := &answerBuffer{budget: ab, cancel: cancel}
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if ab.receiving == nil {
		ab.receiving = map[*answerBuffer]struct{}{}
	}
	ab.receiving[bu] = struct{}{}
	return bu, ctx
}

// counted returns how many bytes of a buffer count.
func counted(bytes int) int { return max(0, bytes-freeBytes) }

// grow reserves memory for a buffer of a size in bytes, and reports whether there is enough. It evicts larger buffers of answers that
// have not arrived whole if necessary. A buffer does not shrink.
func (bu *answerBuffer) grow(bytes int) bool {
	ab := bu.budget
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if bu.evicted {
		return false
	}
	bytes = max(bytes, bu.bytes)
	for ab.used+counted(bytes)-counted(bu.bytes) > budgetBytes {
		largest := ab.largest()
		if largest == nil || largest.bytes <= bytes {
			return false
		}
		largest.evicted = true
		largest.cancel(errOverBudget)
		ab.remove(largest)
	}
	ab.use(counted(bytes) - counted(bu.bytes))
	bu.bytes = bytes
	return true
}

// use adds bytes to those in use. The lock must be held.
func (ab *answerBudget) use(bytes int) {
	ab.used += bytes
	metricHeldBytes.Add(int64(bytes))
}

// largest returns the largest buffer of an answer that has not arrived whole, nil if there is none. The lock must be held.
func (ab *answerBudget) largest() *answerBuffer {
	largest := (*answerBuffer)(nil)
	for bu := range ab.receiving {
		if largest == nil || bu.bytes > largest.bytes {
			largest = bu
		}
	}
	return largest
}

// remove returns the memory of a buffer. The lock must be held.
func (ab *answerBudget) remove(bu *answerBuffer) {
	ab.use(-counted(bu.bytes))
	bu.bytes = 0
	delete(ab.receiving, bu)
}

// complete marks the answer as whole, so that its buffer is not evicted.
func (bu *answerBuffer) complete() {
	bu.budget.mu.Lock()
	defer bu.budget.mu.Unlock()
	delete(bu.budget.receiving, bu)
}

// release returns the memory and cancels the context of the request.
func (bu *answerBuffer) release() {
	bu.budget.mu.Lock()
	defer bu.budget.mu.Unlock()
	bu.budget.remove(bu)
	bu.cancel(nil)
}

// readWhole reads a body. It fails if the body has more than bytesMax bytes or does not fit into the budget, as a part of it must not
// be taken for the whole.
func (bu *answerBuffer) readWhole(rd io.Reader, bytesMax int) ([]byte, error) {
	data, err := reply.ReadAll(rd, bytesMax, bu.grow)
	if err != nil {
		return nil, errors.Wrap(err, "broker: read answer")
	}
	bu.complete()
	return data, nil
}
