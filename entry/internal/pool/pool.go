package pool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// idleDefault is how long an idle connection is used where its server names no timeout.
	idleDefault = 4 * time.Second
	// idleMargin is the time before a server's own timeout from which a connection is not used.
	idleMargin = 700 * time.Millisecond
	// freshMax is how long a connection may have been idle for a request that must not repeat.
	freshMax = 1500 * time.Millisecond
	// idlePerServer bounds the idle connections to one server.
	idlePerServer = 32
	readerBytes   = 4 << 10
)

// ErrFull means that this node has its share of the server's connections.
var ErrFull = errors.New("pool: the share of connections to the server is used up; choose another server")

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds the idle connections; use New.
type Pool struct {
	dialer Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// New returns an empty pool.
func New(di Dialer) *Pool {
	return &Pool{dialer: di, idle: map[string][]*Conn{}, open: map[string]int{}}
}

// Conn is a connection to a backend server.
type Conn struct {
	po      *Pool
	address string
	nc      net.Conn
	br      *bufio.Reader
	// Reused is true after the first exchange.
	Reused bool
	// idleMax is how long the server keeps the connection idle.
	idleMax time.Duration
	idleAt  time.Time
	closed  sync.Once
}

// Get returns a connection to an address: the one used last that still fits, or a new
// one. With fresh it must have been used a moment ago. It fails with ErrFull where the
// address has max connections of this node.
func (po *Pool) Get(ctx context.Context, address string, fresh bool, limit int) (*Conn, error) {
	for {
		co := po.take(address, fresh)
		if co == nil {
			break
		}
		if co.alive() {
			return co, nil
		}
		co.Close()
	}
	if !po.reserve(address, limit) {
		return nil, ErrFull
	}
	nc, err := po.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		po.release(address)
		return nil, errors.Wrapf(err, "pool: dial %s", address)
	}
	return &Conn{po: po, address: address, nc: nc, br: bufio.NewReaderSize(nc, readerBytes), idleMax: idleDefault}, nil
}

// take returns the idle connection that was used last, or nil.
func (po *Pool) take(address string, fresh bool) *Conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	for {
		list := po.idle[address]
		if len(list) == 0 {
			return nil
		}
		co := list[len(list)-1]
		idle := time.Since(co.idleAt)
		if fresh && idle > freshMax && idle <= co.idleMax-idleMargin {
			return nil
		}
		po.idle[address] = list[:len(list)-1]
		if idle <= co.idleMax-idleMargin {
			return co
		}
		go co.Close()
	}
}

// reserve counts a connection in, unless the limit is met.
func (po *Pool) reserve(address string, limit int) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	if limit > 0 && po.open[address] >= limit {
		return false
	}
	po.open[address]++
	return true
}

// release counts a connection out.
func (po *Pool) release(address string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.open[address]--; po.open[address] <= 0 {
		delete(po.open, address)
	}
}

// put keeps a connection for the next exchange.
func (po *Pool) put(co *Conn) {
	co.idleAt = time.Now()
	co.Reused = true
	po.mu.Lock()
	full := len(po.idle[co.address]) >= idlePerServer || co.idleMax <= idleMargin
	if !full {
		po.idle[co.address] = append(po.idle[co.address], co)
	}
	po.mu.Unlock()
	if full {
		co.Close()
	}
}

// Sweep closes connections that have been idle for too long.
func (po *Pool) Sweep() {
	old := make([]*Conn, 0)
	po.mu.Lock()
	for address, list := range po.idle {
		kept := list[:0]
		for _, co := range list {
			if time.Since(co.idleAt) > co.idleMax-idleMargin {
				old = append(old, co)
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
	for _, co := range old {
		co.Close()
	}
}

// Close closes the connection; it may be called again.
func (co *Conn) Close() {
	co.closed.Do(func() {
		co.po.release(co.address)
		// The connection is given up; its error tells nothing new.
		_ = co.nc.Close()
	})
}

// alive tells whether an idle connection is still open and has nothing to say.
func (co *Conn) alive() bool {
	if co.br.Buffered() > 0 {
		return false
	}
	if err := co.nc.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	_, err := co.br.Peek(1)
	if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
		return false
	}
	return co.nc.SetReadDeadline(time.Time{}) == nil
}
