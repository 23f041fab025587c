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

// dialTimeout is the time after which a dial without an answer fails.
const dialTimeout = 2 * time.Second

// queuedWrites bounds the writes on their way in one direction.
const queuedWrites = 128

var errRefused = fmt.Errorf("memory: %w", syscall.ECONNREFUSED)

// network joins hosts in memory; its connections can be cut or fall silent.
type network struct {
	mu        sync.Mutex
	latency   time.Duration
	listeners map[string]*listener
	conns     map[*conn]bool
	apart     map[[2]string]bool
	dead      map[string]bool
	thaw      map[string]time.Time
}

// newNetwork returns a network without hosts.
func newNetwork(latency time.Duration) *network {
	return &network{
		latency: latency, listeners: map[string]*listener{}, conns: map[*conn]bool{},
		apart: map[[2]string]bool{}, dead: map[string]bool{},
		thaw: map[string]time.Time{},
	}
}

// on returns the network as a host sees it. Another start of the host needs another name.
func (ne *network) on(host string) *hostNetwork {
	return &hostNetwork{ne: ne, host: host}
}

// hostNetwork is the network of one host.
type hostNetwork struct {
	ne   *network
	host string
}

// Listen accepts connections on an address.
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

// DialContext connects to an address.
func (hn *hostNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	hn.ne.mu.Lock()
	ls := hn.ne.listeners[address]
	if hn.ne.dead[hn.host] || ls == nil || ls.isClosed() || hn.ne.dead[ls.host] {
		hn.ne.mu.Unlock()
		return nil, errRefused
	}
	if hn.ne.apart[pair(hn.host, ls.host)] {
		hn.ne.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(dialTimeout):
			return nil, os.ErrDeadlineExceeded
		}
	}
	near, far := hn.ne.connect(hn.host, ls.host)
	hn.ne.mu.Unlock()
	select {
	case ls.accept <- far:
		return near, nil
	case <-ls.closed:
		near.cut()
		return nil, errRefused
	}
}

// pair names two hosts in a fixed order.
func pair(aa, bb string) [2]string {
	if aa > bb {
		aa, bb = bb, aa
	}
	return [2]string{aa, bb}
}

// connect makes the two ends of a connection.
func (ne *network) connect(from, to string) (*conn, *conn) {
	nearRead, nearFeed := net.Pipe()
	farRead, farFeed := net.Pipe()
	near := &conn{Conn: nearRead, ne: ne, hosts: pair(from, to), out: make(chan packet, queuedWrites), done: make(chan struct{}), closed: make(chan struct{}), once: &sync.Once{}, silent: &atomic.Bool{}}
	far := &conn{Conn: farRead, ne: ne, hosts: near.hosts, out: make(chan packet, queuedWrites), done: make(chan struct{}), closed: near.closed, once: near.once, silent: near.silent}
	near.ends = []net.Conn{nearRead, nearFeed, farRead, farFeed}
	far.ends = near.ends
	ne.conns[near] = true
	go near.pump(farFeed)
	go far.pump(nearFeed)
	return near, far
}

// silence drops all that existing connections between two hosts carry; new ones work.
func (ne *network) silence(aa, bb string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for co := range ne.conns {
		if co.hosts == pair(aa, bb) {
			co.silent.Store(true)
		}
	}
}

// separate drops all between two hosts until they are joined again.
func (ne *network) separate(aa, bb string) {
	ne.silence(aa, bb)
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.apart[pair(aa, bb)] = true
}

// join lets two hosts reach each other with new connections.
func (ne *network) join(aa, bb string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	delete(ne.apart, pair(aa, bb))
}

// freeze holds back all that a host sends and is sent, as if its process were paused.
func (ne *network) freeze(host string, length time.Duration) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.thaw[host] = time.Now().Add(length)
}

// frozen returns how long a connection between two hosts is still held back.
func (ne *network) frozen(hosts [2]string) time.Duration {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return max(time.Until(ne.thaw[hosts[0]]), time.Until(ne.thaw[hosts[1]]))
}

// cut breaks the existing connections between two hosts.
func (ne *network) cut(aa, bb string) {
	for _, co := range ne.between(func(co *conn) bool { return co.hosts == pair(aa, bb) }) {
		co.cut()
	}
}

// kill cuts a host off for good, as if its process had died.
func (ne *network) kill(host string) {
	ne.mu.Lock()
	ne.dead[host] = true
	for _, ls := range ne.listeners {
		if ls.host == host {
			ls.close()
		}
	}
	ne.mu.Unlock()
	for _, co := range ne.between(func(co *conn) bool { return co.hosts[0] == host || co.hosts[1] == host }) {
		co.cut()
	}
}

// close ends every connection and listener.
func (ne *network) close() {
	ne.mu.Lock()
	for _, ls := range ne.listeners {
		ne.dead[ls.host] = true
		ls.close()
	}
	ne.mu.Unlock()
	for _, co := range ne.between(func(*conn) bool { return true }) {
		co.cut()
	}
}

// between lists the connections that match.
func (ne *network) between(match func(co *conn) bool) []*conn {
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

// conn is one end of a connection: it reads from a pipe and writes to a queue
// that is delivered after the latency.
type conn struct {
	net.Conn
	ne     *network
	hosts  [2]string
	out    chan packet
	ends   []net.Conn
	closed chan struct{}
	once   *sync.Once
	// done is closed, once, when this end was closed.
	done  chan struct{}
	local sync.Once
	// silent is shared by both ends.
	silent *atomic.Bool
}

// packet is data on its way.
type packet struct {
	data []byte
	due  time.Time
}

// Write queues data for the other end.
func (co *conn) Write(data []byte) (int, error) {
	select {
	case <-co.closed:
		return 0, net.ErrClosed
	case <-co.done:
		return 0, net.ErrClosed
	default:
	}
	select {
	case co.out <- packet{data: append([]byte(nil), data...), due: time.Now().Add(co.ne.latency)}:
		return len(data), nil
	case <-co.closed:
	case <-co.done:
	}
	return 0, net.ErrClosed
}

// Close ends this end at once and the connection once what was written has been delivered.
func (co *conn) Close() error {
	co.local.Do(func() {
		close(co.done)
		_ = co.Conn.Close()
	})
	return nil
}

// cut ends the connection at once.
func (co *conn) cut() {
	co.once.Do(func() {
		close(co.closed)
		for _, end := range co.ends {
			_ = end.Close()
		}
	})
	co.ne.mu.Lock()
	defer co.ne.mu.Unlock()
	delete(co.ne.conns, co)
}

// pump delivers what was written, also after this end was closed.
func (co *conn) pump(feed net.Conn) {
	for {
		select {
		case <-co.closed:
			return
		case pa := <-co.out:
			if !co.deliver(feed, pa) {
				return
			}
			continue
		default:
		}
		select {
		case <-co.closed:
			return
		case pa := <-co.out:
			if !co.deliver(feed, pa) {
				return
			}
		case <-co.done:
			time.Sleep(co.ne.latency)
			co.cut()
			return
		}
	}
}

// deliver hands a packet to the other end when it is due.
func (co *conn) deliver(feed net.Conn, pa packet) bool {
	time.Sleep(time.Until(pa.due))
	for wait := co.ne.frozen(co.hosts); wait > 0; wait = co.ne.frozen(co.hosts) {
		time.Sleep(wait)
	}
	if co.silent.Load() {
		return true
	}
	_, err := feed.Write(pa.data)
	return err == nil
}

// listener hands out the far ends of connections.
type listener struct {
	host    string
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
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
func (ls *listener) close() { ls.once.Do(func() { close(ls.closed) }) }

// isClosed tells whether the listener is closed.
func (ls *listener) isClosed() bool {
	select {
	case <-ls.closed:
		return true
	default:
		return false
	}
}

// Addr returns the address.
func (ls *listener) Addr() net.Addr { return memoryAddr(ls.address) }

// memoryAddr is an address of the network in memory.
type memoryAddr string

// Network names the network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (ma memoryAddr) String() string { return string(ma) }
