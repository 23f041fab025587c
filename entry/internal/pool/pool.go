package pool

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/reply"
)

const (
	// defaultIdleTimeout is the idle timeout of a server that does not state one.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the idle timeout that a server states.
	maxIdleTimeout = time.Hour
	// idleTimeoutMargin is how long before the server's idle timeout a connection is no longer
	// used.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxRecentIdle is how long a connection may have been idle if it is to carry a request that
	// must not run twice. The server may be about to close an older one.
	maxRecentIdle = 1500 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one server.
	maxIdlePerServer = 32
	readBufferBytes  = 4 << 10
)

// ErrConnectionLimit means that this node has as many connections to the server as its share allows.
var ErrConnectionLimit = errors.New("pool: the share of connections to the server is used up; choose another server")

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds idle connections and counts the open ones. It is created by New.
type Pool struct {
	dialer Dialer
	// headBytesMax bounds the heads of the answers in an exchange, in bytes.
	headBytesMax int

	mu sync.Mutex
	// idle holds the idle connections by address, the last used at the end.
	idle      map[string][]*Conn
	openCount map[string]int
	// lastNumber is the number of the connection that was opened last.
	lastNumber uint64
}

// Want describes the connection that a request needs.
type Want struct {
	// RecentlyUsed means that an idle connection must have been used within maxRecentIdle.
	RecentlyUsed bool
	// Limit is the highest number of open connections to the address, zero for no limit.
	Limit int
	// Except holds the numbers of connections that must not be used.
	Except []uint64
}

// New returns an empty pool. The heads of an answer, interim ones included, have headBytesMax bytes at
// most, zero for conf.HeadBytesMax.
func New(di Dialer, headBytesMax int) *Pool {
	if headBytesMax <= 0 {
		headBytesMax = conf.HeadBytesMax
	}
	return &Pool{dialer: di, headBytesMax: headBytesMax, idle: map[string][]*Conn{}, openCount: map[string]int{}}
}

// Conn is a connection to a backend server. It carries one exchange at a time.
type Conn struct {
	po      *Pool
	address string
	nc      *reply.Conn
	hr      *headReader
	br      *bufio.Reader
	// Number identifies the connection among all of its pool.
	Number uint64
	// Reused is true after the first exchange.
	Reused bool
	// ServerRun is for the users of the connection: the start of the run of the server that it leads to, zero if they do not know.
	ServerRun int64
	// idleTimeout is how long the server keeps an idle connection open.
	idleTimeout time.Duration
	idleSince   time.Time
	closeOnce   sync.Once
}

// Get returns the usable idle connection to an address that was used last and that the request may use, or a
// new connection. It closes an idle connection that the request may not use if it needs a new one beyond the
// limit, and returns ErrConnectionLimit if none is idle.
func (po *Pool) Get(ctx context.Context, address string, wa Want) (*Conn, error) {
	for {
		co := po.takeIdle(address, wa)
		if co == nil {
			break
		}
		if co.usable() {
			return co, nil
		}
		co.Close()
	}
	number, ok := po.reserve(address, wa.Limit)
	if !ok {
		return nil, ErrConnectionLimit
	}
	raw, err := po.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		po.release(address)
		return nil, errors.Wrapf(err, "pool: dial %s", address)
	}
	nc := reply.NewConn(raw)
	hr := &headReader{src: nc}
	return &Conn{
		po: po, address: address, Number: number, nc: nc, hr: hr, br: bufio.NewReaderSize(hr, readBufferBytes), idleTimeout: defaultIdleTimeout,
	}, nil
}

// PutBack keeps a connection that has carried no exchange since Get for the next one.
func (co *Conn) PutBack() { co.po.putIdle(co) }

// takeIdle removes and returns the idle connection that was used last and that the request may use, or nil if
// there is none. It closes connections that are about to reach the server's idle timeout.
func (po *Pool) takeIdle(address string, wa Want) *Conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	for ix := len(po.idle[address]) - 1; ix >= 0; ix-- {
		co := po.idle[address][ix]
		idle := time.Since(co.idleSince)
		switch {
		case idle > co.idleTimeout-idleTimeoutMargin:
			po.removeIdle(address, ix)
			go co.Close()
		case wa.RecentlyUsed && idle > maxRecentIdle:
			return nil
		case !slices.Contains(wa.Except, co.Number):
			po.removeIdle(address, ix)
			return co
		}
	}
	return nil
}

// removeIdle removes an idle connection from the list of its address. The lock must be held.
func (po *Pool) removeIdle(address string, ix int) {
	po.idle[address] = slices.Delete(po.idle[address], ix, ix+1)
}

// reserve counts a new connection and returns its number. If limit connections are open already, it closes the
// idle one that was used first in favour of the new one, or returns false if none is idle.
func (po *Pool) reserve(address string, limit int) (uint64, bool) {
	po.mu.Lock()
	surplus := (*Conn)(nil)
	if limit > 0 && po.openCount[address] >= limit {
		if len(po.idle[address]) == 0 {
			po.mu.Unlock()
			return 0, false
		}
		surplus = po.idle[address][0]
		po.removeIdle(address, 0)
	}
	po.openCount[address]++
	po.lastNumber++
	number := po.lastNumber
	po.mu.Unlock()
	if surplus != nil {
		surplus.Close()
	}
	return number, true
}

// release subtracts a closed connection from the count.
func (po *Pool) release(address string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.openCount[address]--; po.openCount[address] <= 0 {
		delete(po.openCount, address)
	}
}

// putIdle keeps a connection for the next exchange, or closes it if too many are idle or the
// server's idle timeout is too short.
func (po *Pool) putIdle(co *Conn) {
	co.idleSince = time.Now()
	co.Reused = true
	po.mu.Lock()
	discard := len(po.idle[co.address]) >= maxIdlePerServer || co.idleTimeout <= idleTimeoutMargin
	if !discard {
		po.idle[co.address] = append(po.idle[co.address], co)
	}
	po.mu.Unlock()
	if discard {
		co.Close()
	}
}

// CloseExpired closes the idle connections that are about to reach the server's idle timeout.
func (po *Pool) CloseExpired() {
	expired := make([]*Conn, 0)
	po.mu.Lock()
	for address, list := range po.idle {
		kept := list[:0]
		for _, co := range list {
			if time.Since(co.idleSince) > co.idleTimeout-idleTimeoutMargin {
				expired = append(expired, co)
				continue
			}
			kept = append(kept, co)
		}
		if len(kept) == 0 {
			delete(po.idle, address)
			continue
		}
		po.idle[address] = kept
	}
	po.mu.Unlock()
	for _, co := range expired {
		co.Close()
	}
}

// Close closes the connection. It may be called more than once.
func (co *Conn) Close() {
	co.closeOnce.Do(func() {
		co.po.release(co.address)
		// The connection is not used any more, so the error is ignored.
		_ = co.nc.Close()
	})
}

// usable reports whether an idle connection is still open and has no unread data.
func (co *Conn) usable() bool {
	if co.br.Buffered() > 0 {
		return false
	}
	if sc, ok := co.nc.Conn.(syscall.Conn); ok {
		return nothingToRead(sc)
	}
	return co.quiet()
}

// nothingToRead reads from a socket without waiting, and reports whether that shows an open
// connection without unread data. A read with an expired deadline would not reach the socket.
func nothingToRead(sc syscall.Conn) bool {
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), make([]byte, 1))
		open = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// quiet reports whether a connection that is no socket is open and has no unread data.
func (co *Conn) quiet() bool {
	if err := co.nc.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	_, err := co.br.Peek(1)
	if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
		return false
	}
	return co.nc.SetReadDeadline(time.Time{}) == nil
}
