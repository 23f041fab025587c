package fakes

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// endlessBlockBytes is the size of a write. endlessMax limits the bytes sent on a connection, so that every test ends.
	endlessBlockBytes = 64 << 10
	endlessMax        = 256 << 20
)

// Endless is a server that sends a text and then a block repeatedly until the connection is closed.
type Endless struct {
	Text, Block string
	// StallAfter is the number of bytes after which the server sends nothing more and keeps the connection open, zero for never.
	StallAfter int

	// sent counts the bytes sent, ended the connections on which nothing more is sent.
	sent, ended atomic.Int64
}

// Answer is a function for Serve.
func (en *Endless) Answer(nc *net.TCPConn) {
	defer func() { _, _ = io.Copy(io.Discard, nc) }()
	defer en.ended.Add(1)
	blocks := strings.Repeat(en.Block, max(1, endlessBlockBytes/len(en.Block)))
	count, err := io.WriteString(nc, en.Text)
	for own := count; err == nil && own < endlessMax && (en.StallAfter == 0 || own < en.StallAfter); own += count {
		count, err = io.WriteString(nc, blocks)
		en.sent.Add(int64(count))
	}
}

// Sent returns how many bytes were sent on all connections.
func (en *Endless) Sent() int64 { return en.sent.Load() }

// HeapWhenStalled calls fn, which opens a number of connections, and returns the growth of the heap, in bytes, once nothing more is
// sent on any of them. There is no garbage then, as all readers wait or have returned.
func (en *Endless) HeapWhenStalled(conns int, fn func()) int64 {
	before, done := heapBytes(), make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	for en.ended.Load() < int64(conns) && !closed(done) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(settleTime)
	held := heapBytes() - before
	<-done
	return held
}

// closed reports whether a channel is closed.
func closed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// heapBytes returns the bytes of objects on the heap after a collection.
func heapBytes() int64 {
	runtime.GC()
	ms := runtime.MemStats{}
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
