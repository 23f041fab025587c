package reply

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection to a server on which a reset is not taken for an orderly close. The kernel reports a reset once. If a write
// gets that error, later reads get io.EOF, which completes a response without a length. Writes must not overlap.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// writing is closed when the write in progress ends, nil if there is none.
	writing chan struct{}
	// writeErr is the error that shows that the connection was not closed in an orderly way, nil if no write got one.
	writeErr error
	// heads checks the heads of the response that is being read, nil if that is not wanted.
	heads *heads
}

// NewConn returns a connection over an open one.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write implements io.Writer.
func (co *Conn) Write(data []byte) (int, error) {
	defer co.beginWrite()()
	count, err := co.Conn.Write(data)
	co.note(err)
	return count, err
}

// WriteParts writes buffers one after another, without copying them where the system allows that.
func (co *Conn) WriteParts(parts net.Buffers) (int64, error) {
	defer co.beginWrite()()
	count, err := parts.WriteTo(co.Conn)
	co.note(err)
	return count, err
}

// Read implements io.Reader. It returns io.EOF only if the server has closed the connection in an orderly way, and cancels a write
// in progress then: the server sends nothing more.
func (co *Conn) Read(buf []byte) (int, error) {
	count, err := co.Conn.Read(buf)
	co.addToHeads(buf[:count])
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if writeErr := co.cancelWrite(); writeErr != nil {
		return count, writeErr
	}
	return count, err
}

// beginHeads starts the check of the heads of the next response.
func (co *Conn) beginHeads() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.heads = &heads{}
}

// addToHeads adds received bytes to the heads, if they are checked.
func (co *Conn) addToHeads(data []byte) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.heads != nil {
		co.heads.add(data)
	}
}

// endHeads ends the check of the heads and returns its result.
func (co *Conn) endHeads() error {
	co.mu.Lock()
	defer co.mu.Unlock()
	err := co.heads.check()
	co.heads = nil
	return err
}

// beginWrite marks a write as in progress and returns a function that ends it.
func (co *Conn) beginWrite() func() {
	done := make(chan struct{})
	co.mu.Lock()
	defer co.mu.Unlock()
	co.writing = done
	return func() {
		co.mu.Lock()
		defer co.mu.Unlock()
		co.writing = nil
		close(done)
	}
}

// note keeps the error of a write, unless the server may have closed the connection in an orderly way before. If data arrives after
// that, the server resets the connection, which the kernel reports as a broken pipe.
func (co *Conn) note(err error) {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.writeErr = err
}

// cancelWrite cancels the write in progress, if there is one, and returns the error that note has kept.
func (co *Conn) cancelWrite() error {
	co.mu.Lock()
	writing := co.writing
	co.mu.Unlock()
	if writing != nil {
		// If the deadline cannot be set, the connection is closed, and the write ends anyway.
		_ = co.SetWriteDeadline(time.Unix(1, 0))
		<-writing
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.writeErr
}
