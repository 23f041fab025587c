package proofs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// dialTimeout is how long a dial between partitioned hosts waits before it fails.
const dialTimeout = 2 * time.Second

// queuedWritesMax is the number of undelivered writes in one direction after which Write blocks.
const queuedWritesMax = 128

var errConnectionRefused = fmt.Errorf("in-memory network: %w", syscall.ECONNREFUSED)

// network connects hosts in memory and can inject faults: it breaks connections, drops or delays
// their data, or partitions hosts.
type network struct {
	mu          sync.Mutex
	latency     time.Duration
	listeners   map[string]*listener
	conns       map[*conn]bool
	partitioned map[[2]string]bool
	killed      map[string]bool
	frozenUntil map[string]time.Time
}

// newNetwork returns a network without hosts.
func newNetwork(latency time.Duration) *network {
	return &network{
		latency: latency, listeners: map[string]*listener{}, conns: map[*conn]bool{},
		partitioned: map[[2]string]bool{}, killed: map[string]bool{},
		frozenUntil: map[string]time.Time{},
	}
}

// forHost returns the network as one host sees it. Each run of a program needs a host name of its
// own, because a killed host stays cut off.
func (ne *network) forHost(host string) *hostNetwork {
	return &hostNetwork{ne: ne, host: host}
}

// hostNetwork listens and dials on behalf of one host.
type hostNetwork struct {
	ne   *network
	host string
}

// Listen starts a listener of the host on an address.
func (hn *hostNetwork) Listen(address string) (net.Listener, error) {
	hn.ne.mu.Lock()
	defer hn.ne.mu.Unlock()
	if old := hn.ne.listeners[address]; old != nil && !old.isClosed() {
		return nil, errors.New("address in use: " + address)
	}
	ls := &listener{host: hn.host, address: address, accept: make(chan net.Conn, 64), closed: make(chan struct{})}
	hn.ne.listeners[address] = ls
	return ls, nil
}

// DialContext connects the host to an address.
func (hn *hostNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	hn.ne.mu.Lock()
	ls := hn.ne.listeners[address]
	if hn.ne.killed[hn.host] || ls == nil || ls.isClosed() || hn.ne.killed[ls.host] {
		hn.ne.mu.Unlock()
		return nil, errConnectionRefused
	}
	if hn.ne.partitioned[hostPair(hn.host, ls.host)] {
		hn.ne.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(dialTimeout):
			return nil, os.ErrDeadlineExceeded
		}
	}
	near, far := hn.ne.connect(hn.host, ls)
	hn.ne.mu.Unlock()
	select {
	case ls.accept <- far:
		return near, nil
	case <-ls.closed:
		near.cut()
		return nil, errConnectionRefused
	}
}

// hostPair returns two host names in alphabetical order, as the key of a connection or partition.
func hostPair(aa, bb string) [2]string {
	if aa > bb {
		aa, bb = bb, aa
	}
	return [2]string{aa, bb}
}

// connect creates the two ends of a connection and starts delivery between them.
func (ne *network) connect(from string, ls *listener) (*conn, *conn) {
	nearRead, nearFeed := net.Pipe()
	farRead, farFeed := net.Pipe()
	near := &conn{Conn: nearRead, ne: ne, hosts: hostPair(from, ls.host), address: ls.address, queue: make(chan packet, queuedWritesMax), endClosed: make(chan struct{}), closed: make(chan struct{}), closeOnce: &sync.Once{}, dropsData: &atomic.Bool{}, dropsClose: &atomic.Bool{}}
	far := &conn{Conn: farRead, ne: ne, hosts: near.hosts, address: near.address, queue: make(chan packet, queuedWritesMax), endClosed: make(chan struct{}), closed: near.closed, closeOnce: near.closeOnce, dropsData: near.dropsData, dropsClose: near.dropsClose}
	near.pipes = []net.Conn{nearRead, nearFeed, farRead, farFeed}
	far.pipes = near.pipes
	ne.conns[near] = true
	go near.deliverQueued(farFeed)
	go far.deliverQueued(nearFeed)
	return near, far
}

// dropOpenConnectionData drops all data on the open connections between two hosts without closing
// them; new connections work.
func (ne *network) dropOpenConnectionData(aa, bb string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for co := range ne.conns {
		if co.hosts == hostPair(aa, bb) {
			co.dropsData.Store(true)
		}
	}
}

// silenceOpenConnections drops all data on the open connections of a host to an address, and neither end learns that
// the other one closes them; new connections work.
func (ne *network) silenceOpenConnections(host, address string) {
	dialed := func(co *conn) bool { return co.address == address && (co.hosts[0] == host || co.hosts[1] == host) }
	for _, co := range ne.connsWhere(dialed) {
		co.dropsClose.Store(true)
		co.dropsData.Store(true)
	}
}

// partition drops all data between two hosts and lets dials time out until healPartition.
func (ne *network) partition(aa, bb string) {
	ne.dropOpenConnectionData(aa, bb)
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.partitioned[hostPair(aa, bb)] = true
}

// healPartition lets two hosts open new connections to each other again; the old ones stay silent.
func (ne *network) healPartition(aa, bb string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	delete(ne.partitioned, hostPair(aa, bb))
}

// freeze holds back all data from and to a host for a time, as if its process were paused.
func (ne *network) freeze(host string, duration time.Duration) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.frozenUntil[host] = time.Now().Add(duration)
}

// freezeRemaining returns how long the data between two hosts is still held back.
func (ne *network) freezeRemaining(hosts [2]string) time.Duration {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return max(time.Until(ne.frozenUntil[hosts[0]]), time.Until(ne.frozenUntil[hosts[1]]))
}

// cut breaks the open connections between two hosts.
func (ne *network) cut(aa, bb string) {
	for _, co := range ne.connsWhere(func(co *conn) bool { return co.hosts == hostPair(aa, bb) }) {
		co.cut()
	}
}

// kill closes all listeners and connections of a host for good, as if its process had died.
func (ne *network) kill(host string) {
	ne.mu.Lock()
	ne.killed[host] = true
	for _, ls := range ne.listeners {
		if ls.host == host {
			ls.close()
		}
	}
	ne.mu.Unlock()
	for _, co := range ne.connsWhere(func(co *conn) bool { return co.hosts[0] == host || co.hosts[1] == host }) {
		co.cut()
	}
}

// close closes every connection and listener.
func (ne *network) close() {
	ne.mu.Lock()
	for _, ls := range ne.listeners {
		ne.killed[ls.host] = true
		ls.close()
	}
	ne.mu.Unlock()
	for _, co := range ne.connsWhere(func(*conn) bool { return true }) {
		co.cut()
	}
}

// connsWhere returns the connections that match.
func (ne *network) connsWhere(match func(co *conn) bool) []*conn {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	list := make([]*conn, 0)
	for co := range ne.conns {
		if match(co) {
			list = append(list, co)
		}
	}
	return list
}

// conn is one end of a connection. It reads from a pipe; its writes are queued and delivered to
// the other end after the latency.
type conn struct {
	net.Conn
	ne    *network
	hosts [2]string
	// address is the one that was dialed.
	address   string
	queue     chan packet
	pipes     []net.Conn
	closed    chan struct{}
	closeOnce *sync.Once
	// endClosed is closed, once, when Close is called on this end.
	endClosed chan struct{}
	endOnce   sync.Once
	// dropsData and dropsClose are shared by both ends.
	dropsData, dropsClose *atomic.Bool
	// writeTimer ends writes at their deadline by closing late. It is nil without one.
	writeMu    sync.Mutex
	writeTimer *time.Timer
	late       chan struct{}
}

// SetWriteDeadline sets when writes fail, also the one in progress, the zero time for never.
func (co *conn) SetWriteDeadline(at time.Time) error {
	late := co.writesLate()
	co.writeMu.Lock()
	defer co.writeMu.Unlock()
	if co.writeTimer != nil && !co.writeTimer.Stop() {
		// The deadline before has passed, or is about to.
		co.late = make(chan struct{})
		late = co.late
	}
	co.writeTimer = nil
	if !at.IsZero() {
		co.writeTimer = time.AfterFunc(time.Until(at), func() { close(late) })
	}
	return nil
}

// writesLate returns a channel that is closed at the deadline of writes.
func (co *conn) writesLate() chan struct{} {
	co.writeMu.Lock()
	defer co.writeMu.Unlock()
	if co.late == nil {
		co.late = make(chan struct{})
	}
	return co.late
}

// packet is one write that has not been delivered yet.
type packet struct {
	data []byte
	due  time.Time
}

// Write queues data for delivery to the other end.
func (co *conn) Write(data []byte) (int, error) {
	select {
	case <-co.closed:
		return 0, net.ErrClosed
	case <-co.endClosed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case co.queue <- packet{data: append([]byte(nil), data...), due: time.Now().Add(co.ne.latency)}:
		return len(data), nil
	case <-co.writesLate():
		return 0, os.ErrDeadlineExceeded
	case <-co.closed:
	case <-co.endClosed:
	}
	return 0, net.ErrClosed
}

// Close closes this end at once, and the connection when the data already written is delivered.
func (co *conn) Close() error {
	co.endOnce.Do(func() {
		close(co.endClosed)
		_ = co.Conn.Close()
	})
	return nil
}

// cut closes both ends at once and discards undelivered data.
func (co *conn) cut() { co.closeAll(nil) }

// closeAll closes both ends at once. The other end of feed, if it is not nil, still reads the end of the
// data, as after an orderly close.
func (co *conn) closeAll(feed net.Conn) {
	co.closeOnce.Do(func() {
		close(co.closed)
		for ix, end := range co.pipes {
			// Each read end is followed by its feed.
			if feed == nil || ix%2 == 1 || co.pipes[ix+1] != feed {
				_ = end.Close()
			}
		}
	})
	co.ne.mu.Lock()
	defer co.ne.mu.Unlock()
	delete(co.ne.conns, co)
}

// deliverQueued delivers queued writes, also those that are left when this end is closed.
func (co *conn) deliverQueued(feed net.Conn) {
	for {
		select {
		case <-co.closed:
			return
		case pa := <-co.queue:
			if !co.deliver(feed, pa) {
				return
			}
			continue
		default:
		}
		select {
		case <-co.closed:
			return
		case pa := <-co.queue:
			if !co.deliver(feed, pa) {
				return
			}
		case <-co.endClosed:
			time.Sleep(co.ne.latency)
			if !co.dropsClose.Load() {
				co.closeAll(feed)
			}
			return
		}
	}
}

// deliver passes a packet to the other end when it is due, or discards it on a connection that
// drops data.
func (co *conn) deliver(feed net.Conn, pa packet) bool {
	time.Sleep(time.Until(pa.due))
	for wait := co.ne.freezeRemaining(co.hosts); wait > 0; wait = co.ne.freezeRemaining(co.hosts) {
		time.Sleep(wait)
	}
	if co.dropsData.Load() {
		return true
	}
	_, err := feed.Write(pa.data)
	return err == nil
}

// listener accepts the far ends of connections.
type listener struct {
	host      string
	address   string
	accept    chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits for a connection.
func (ls *listener) Accept() (net.Conn, error) {
	select {
	case co := <-ls.accept:
		return co, nil
	case <-ls.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting.
func (ls *listener) Close() error {
	ls.close()
	return nil
}

// close stops accepting.
func (ls *listener) close() { ls.closeOnce.Do(func() { close(ls.closed) }) }

// isClosed reports whether the listener is closed.
func (ls *listener) isClosed() bool {
	select {
	case <-ls.closed:
		return true
	default:
		return false
	}
}

// Addr returns the address of the listener.
func (ls *listener) Addr() net.Addr { return memoryAddr(ls.address) }

// memoryAddr is an address in the in-memory network.
type memoryAddr string

// Network returns the name of the network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address as text.
func (ma memoryAddr) String() string { return string(ma) }
