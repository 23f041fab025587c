package caller

import "sync"

const (
	// maxBufferedBytes is the maximum size of an answer that is buffered until it is complete.
	maxBufferedBytes = 1 << 20
	// maxAllBufferedBytes bounds what is buffered of all answers together, beyond freeBufferBytes of each. It is more than the log
	// keeps of an answer.
	maxAllBufferedBytes = 16 << 20
	freeBufferBytes     = 64 << 10
	// firstBufferBytes is the size of the first buffer of an answer.
	firstBufferBytes = 1 << 10
)

// buffers counts the buffers of all answers. The zero value is empty.
type buffers struct {
	mu   sync.Mutex
	held int
}

// resize counts a buffer of another size, in bytes, and reports whether there is room for it.
func (bs *buffers) resize(from, to int) bool {
	more := max(0, to-freeBufferBytes) - max(0, from-freeBufferBytes)
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if more > 0 && bs.held+more > maxAllBufferedBytes {
		return false
	}
	bs.held += more
	return true
}

// buffer holds an answer until it is complete. It must be reset at the end.
type buffer struct {
	all  *buffers
	data []byte
}

// add appends data, and reports whether there is room for it.
func (bu *buffer) add(data []byte) bool {
	length := len(bu.data) + len(data)
	if length > maxBufferedBytes {
		return false
	}
	if length > cap(bu.data) {
		size := max(firstBufferBytes, min(2*length, maxBufferedBytes))
		if !bu.all.resize(cap(bu.data), size) {
			return false
		}
		bu.data = append(make([]byte, 0, size), bu.data...)
	}
	bu.data = append(bu.data, data...)
	return true
}

// reset empties the buffer and gives its memory back.
func (bu *buffer) reset() {
	bu.all.resize(cap(bu.data), 0)
	bu.data = nil
}
