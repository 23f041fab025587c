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

// Conn is a connection to a server on which a reset does not look like an orderly end. The kernel reports a reset once: if that
// is to a write, reads that follow get io.EOF, by which an answer without a length is whole. There must be one write at a time.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// writing is closed at the end of the write in progress, nil if there is none.
	writing chan struct{}
	// lost is how the connection was lost to a write, nil if it was not.
	lost error
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

// WriteParts writes the parts one after another, without copying them where the system allows it.
func (co *Conn) WriteParts(parts net.Buffers) (int64, error) {
	defer co.beginWrite()()
	count, err := parts.WriteTo(co.Conn)
	co.note(err)
	return count, err
}

// Read implements io.Reader. It returns io.EOF only if the server has closed the connection in an orderly way. It then ends a
// write in progress, which would have to wait for a server that sends nothing more.
func (co *Conn) Read(buf []byte) (int, error) {
	count, err := co.Conn.Read(buf)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if lost := co.endWrites(); lost != nil {
		return count, lost
	}
	return count, err
}

// beginWrite records the begin of a write and returns what records its end.
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

// note records the error of a write if it means that the connection was lost. A server that has closed its end, and does not read
// what still arrives, resets the connection after all that it has sent: the kernel reports that as a broken pipe.
func (co *Conn) note(err error) {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.lost = err
}

// endWrites ends the write in progress, if there is one, and returns how the connection was lost to a write.
func (co *Conn) endWrites() error {
	co.mu.Lock()
	writing := co.writing
	co.mu.Unlock()
	if writing != nil {
		// A connection whose deadline cannot be set has ended, and its writes with it.
		_ = co.SetWriteDeadline(time.Unix(1, 0))
		<-writing
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.lost
}
