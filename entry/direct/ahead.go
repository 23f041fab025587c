package direct

import (
	"io"
	"sync"
	"time"
)

// aheadDelay is how long a write to a caller may take before the node reads on from the server. Servers cut answers that
// stay unread for some seconds.
const aheadDelay = 200 * time.Millisecond

// readAhead reads the body of a stream. While a write to a slow caller blocks, it goes on reading within the bounds of what
// the node holds of answers, so that the server does not see an answer that stays unread.
type readAhead struct {
	src io.Reader
	hb  *heldBytes
	// closeSource makes reads from src fail.
	closeSource func()
	timer       *time.Timer

	mu sync.Mutex
	// ended is signaled when the reading in the background has ended.
	ended sync.Cond
	// held has been read and not returned yet, taken is how much counts for it.
	held  []byte
	taken int
	// err is how the body ended.
	err error
	// blocked is true during a write to the caller, reading while the background reads.
	blocked, reading bool
}

// newReadAhead returns a reader of a body, which release ends.
func newReadAhead(src io.Reader, hb *heldBytes, closeSource func()) *readAhead {
	ra := &readAhead{src: src, hb: hb, closeSource: closeSource}
	ra.ended.L = &ra.mu
	return ra
}

// Read implements io.Reader.
func (ra *readAhead) Read(buf []byte) (int, error) {
	ra.mu.Lock()
	for len(ra.held) == 0 && ra.reading {
		ra.ended.Wait()
	}
	defer ra.mu.Unlock()
	if len(ra.held) > 0 {
		count := copy(buf, ra.held)
		ra.held = ra.held[count:]
		ra.dropIfEmpty()
		return count, nil
	}
	if ra.err != nil {
		return 0, ra.err
	}
	ra.mu.Unlock()
	count, err := ra.src.Read(buf)
	ra.mu.Lock()
	return count, err
}

// dropIfEmpty gives the buffer back once all of it has been returned and nothing reads into it. The lock must be held.
func (ra *readAhead) dropIfEmpty() {
	if len(ra.held) > 0 || ra.reading {
		return
	}
	ra.hb.release(ra.taken)
	ra.held, ra.taken = nil, 0
}

// beginWrite tells that a write to the caller begins, which must not follow another one without endWrite.
func (ra *readAhead) beginWrite() {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ra.blocked = true
	if ra.timer == nil {
		ra.timer = time.AfterFunc(aheadDelay, ra.readOn)
		return
	}
	ra.timer.Reset(aheadDelay)
}

// endWrite tells that the write has ended.
func (ra *readAhead) endWrite() {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ra.blocked = false
	ra.timer.Stop()
}

// readOn reads until the write has ended, the body has, or the bounds allow no more.
func (ra *readAhead) readOn() {
	buf := make([]byte, firstHoldBytes)
	ra.mu.Lock()
	defer ra.mu.Unlock()
	if ra.reading {
		return
	}
	for ra.blocked && ra.err == nil && ra.reserve(len(buf)) {
		ra.reading = true
		ra.mu.Unlock()
		count, err := ra.src.Read(buf)
		ra.mu.Lock()
		ra.held = append(ra.held, buf[:count]...)
		ra.err = err
	}
	ra.reading = false
	ra.dropIfEmpty()
	ra.ended.Broadcast()
}

// reserve makes room for more bytes, and reports whether the bounds allow it. The lock must be held.
func (ra *readAhead) reserve(count int) bool {
	if cap(ra.held)-len(ra.held) >= count {
		return true
	}
	size := max(2*count, 2*(len(ra.held)+count))
	if !ra.hb.take(size, ra.taken) {
		return false
	}
	grown := make([]byte, len(ra.held), size)
	copy(grown, ra.held)
	ra.hb.release(ra.taken)
	ra.held, ra.taken = grown, size
	return true
}

// release ends the reading in the background and gives the buffer back.
func (ra *readAhead) release() {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	if ra.timer != nil {
		ra.timer.Stop()
	}
	ra.blocked = false
	if ra.reading {
		ra.closeSource()
	}
	for ra.reading {
		ra.ended.Wait()
	}
	ra.held = nil
	ra.dropIfEmpty()
}
