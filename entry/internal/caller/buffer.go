package caller

import "sync"

const (
	// maxBufferedBytes is the maximum size of an answer that is buffered until it is complete.
	maxBufferedBytes = 1 << 20
	// maxAllBufferedBytes limits the memory of all buffers. freeBufferBytes of each do not count: short answers, which the log
	// keeps, always fit.
	maxAllBufferedBytes = 16 << 20
	freeBufferBytes     = 64 << 10
	// firstBufferBytes is the size of the first buffer of an answer.
	firstBufferBytes = 1 << 10
)

// buffers limits the memory of the buffers of all answers. The zero value is ready to use.
type buffers struct {
	mu   sync.Mutex
	used int
	// full counts the answers that did not fit.
	full int64
}

// bufferStats is the state of the buffers.
type bufferStats struct {
	// Used is the memory in use, without the part of each buffer that does not count. Full counts the answers that did not fit.
	Used int   `json:"used_bytes"`
	Full int64 `json:"full"`
}

// stats returns the state of the buffers.
func (bs *buffers) stats() bufferStats {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bufferStats{Used: bs.used, Full: bs.full}
}

// resize changes the size of a buffer, in bytes, and reports whether it fits.
func (bs *buffers) resize(from, to int) bool {
	more := max(0, to-freeBufferBytes) - max(0, from-freeBufferBytes)
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if more > 0 && bs.used+more > maxAllBufferedBytes {
		bs.full++
		return false
	}
	bs.used += more
	return true
}

// buffer holds an answer until it is complete. It must be reset at the end.
type buffer struct {
	all  *buffers
	data []byte
}

// add appends data, and reports whether it fits.
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

// reset empties the buffer and returns its memory.
func (bu *buffer) reset() {
	bu.all.resize(cap(bu.data), 0)
	bu.data = nil
}
