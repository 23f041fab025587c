package fakes

import (
	"io"
	"net"
	"runtime"
	"strings"
	"time"
)

const (
	// endlessBlockBytes is the size of one write of what has no end, endlessMax how much is written at most, so that a test ends on
	// any code.
	endlessBlockBytes = 64 << 10
	endlessMax        = 256 << 20
	// heapPause is the time between two looks at the heap.
	heapPause = 5 * time.Millisecond
)

// Endless returns a function for Serve that sends a text and then a block again and again, until the connection is closed.
func Endless(text, block string) func(nc *net.TCPConn) {
	return func(nc *net.TCPConn) {
		blocks := strings.Repeat(block, max(1, endlessBlockBytes/len(block)))
		_, _ = io.WriteString(nc, text)
		for sent := 0; sent < endlessMax; sent += len(blocks) {
			if _, err := io.WriteString(nc, blocks); err != nil {
				return
			}
		}
	}
}

// PeakHeap calls fn and returns how many bytes the heap had at most more than before. It collects garbage before each look.
func PeakHeap(fn func()) int64 {
	before, peak, done := heapBytes(), int64(0), make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	for {
		select {
		case <-done:
			return peak
		case <-time.After(heapPause):
			peak = max(peak, heapBytes()-before)
		}
	}
}

// heapBytes returns the bytes of objects on the heap right after a collection.
func heapBytes() int64 {
	runtime.GC()
	ms := runtime.MemStats{}
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
