package link

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// HeartbeatPeriod is the interval between heartbeats.
	HeartbeatPeriod = time.Second
	// MaxSilence is the time without a received frame after which a connection is closed.
	MaxSilence = 3 * time.Second
	// Path is the HTTP path on which agents accept connections.
	Path = "/link"

	// maxQueuedBatches is the number of batches of frames that may wait to be written.
	maxQueuedBatches = 256
	// messageBytesTarget is the size from which no more batches are added to a WebSocket message.
	messageBytesTarget = 64 << 10
	writeTimeout       = MaxSilence
)

// ErrSilent is the cause of closing a connection on which no frame arrived for MaxSilence.
var ErrSilent = errors.New("link: the peer sent nothing for 3 s; the connection is closed and the entry node dials again")

// Dialer opens network connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Handler receives the frames of a connection in order.
type Handler interface {
	// HandleFrame handles a frame that is not a heartbeat. It must not block, because it is called by the
	// goroutine that reads the connection.
	HandleFrame(fr *wire.Frame)
	// HandleHeartbeat handles a heartbeat received from the peer.
	HandleHeartbeat(he *wire.Heartbeat)
	// Heartbeat returns the next heartbeat to send to the peer.
	Heartbeat() wire.Heartbeat
}

// Conn is a connection between an entry node and an agent.
type Conn struct {
	ws *websocket.Conn
	// queueSlots is a semaphore that holds one token for each batch that waits to be written.
	queueSlots chan struct{}
	// wake tells the background writer that a frame is queued.
	wake chan struct{}
	// done is closed when Run stops reading.
	done chan struct{}
	// mu guards ctx, queued and writing.
	mu sync.Mutex
	// ctx is the context of Run, and the background context before Run.
	ctx    context.Context
	queued [][]*wire.Frame
	// writing is true while a goroutine writes the queued batches.
	writing bool
	// encoded is the buffer for the message being written; only the writing goroutine uses it.
	encoded bytes.Buffer

	// lastReceived is the time from start to the last received message, in nanoseconds.
	lastReceived atomic.Int64
	// received is the buffer for the message being read.
	received bytes.Buffer
	start    time.Time
}

// NewConn returns a connection over an open WebSocket.
func NewConn(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(wire.MaxReadBytes)
	return &Conn{
		ws: ws, queueSlots: make(chan struct{}, maxQueuedBatches), wake: make(chan struct{}, 1),
		done: make(chan struct{}), ctx: context.Background(), start: time.Now(),
	}
}

// Dial opens a WebSocket connection to the agent at the address. Connect also exchanges Hello and
// Welcome.
func Dial(ctx context.Context, di Dialer, address string) (*Conn, error) {
	hc := &http.Client{Transport: &http.Transport{
		DialContext: di.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: conf.HeadBytesMax,
	}}
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: hc})
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", address)
	}
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	return NewConn(ws), nil
}

// Accept upgrades an HTTP request of an entry node to a connection.
func Accept(wr http.ResponseWriter, rq *http.Request) (*Conn, error) {
	ws, err := websocket.Accept(wr, rq, nil)
	if err != nil {
		return nil, errors.Wrap(err, "link: accept")
	}
	return NewConn(ws), nil
}

// ForceClose closes a connection on which Run was never called.
func (co *Conn) ForceClose() { _ = co.ws.CloseNow() }

// ReadFrame reads one frame. It may be called only before Run.
func (co *Conn) ReadFrame(ctx context.Context) (*wire.Frame, error) {
	if err := co.readMessage(ctx); err != nil {
		return nil, err
	}
	fr, _, err := wire.DecodeFirst(co.received.Bytes())
	return fr, err
}

// readMessage reads one WebSocket message into the receive buffer.
func (co *Conn) readMessage(ctx context.Context) error {
	_, rd, err := co.ws.Reader(ctx)
	if err != nil {
		return errors.Wrap(err, "link: read")
	}
	co.received.Reset()
	_, err = co.received.ReadFrom(rd)
	return errors.Wrap(err, "link: read")
}

// WriteFrame writes one frame. It may be called only before Run.
func (co *Conn) WriteFrame(ctx context.Context, fr *wire.Frame) error {
	buf := bytes.Buffer{}
	if err := wire.Append(&buf, fr); err != nil {
		return err
	}
	return errors.Wrap(co.ws.Write(ctx, websocket.MessageBinary, buf.Bytes()), "link: write")
}

// setContext sets the context of writes.
func (co *Conn) setContext(ctx context.Context) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.ctx = ctx
}

// context returns the context of writes.
func (co *Conn) context() context.Context {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.ctx
}

// Run reads and writes frames until the connection fails, nothing arrives for MaxSilence or the
// context is canceled. It returns the cause.
func (co *Conn) Run(ctx context.Context, ha Handler) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	co.setContext(ctx)
	co.recordReceipt()
	writesDone := make(chan struct{})
	go func() {
		defer close(writesDone)
		cancel(co.writeQueuedOnWake(ctx))
	}()
	heartbeatsDone := make(chan struct{})
	go func() {
		defer close(heartbeatsDone)
		if err := co.sendHeartbeats(ctx, ha); err != nil {
			cancel(err)
		}
	}()
	err := co.readMessages(ctx, ha)
	cancel(err)
	close(co.done)
	_ = co.ws.CloseNow()
	<-writesDone
	<-heartbeatsDone
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// readMessages reads messages and passes their frames to the handler until reading fails.
func (co *Conn) readMessages(ctx context.Context, ha Handler) error {
	for {
		if err := co.readMessage(ctx); err != nil {
			return err
		}
		co.recordReceipt()
		if err := handleFrames(co.received.Bytes(), ha); err != nil {
			return err
		}
	}
}

// handleFrames passes each frame of a message to the handler.
func handleFrames(data []byte, ha Handler) error {
	for len(data) > 0 {
		fr, rest, err := wire.DecodeFirst(data)
		if err != nil {
			return err
		}
		data = rest
		if fr.Heartbeat != nil {
			ha.HandleHeartbeat(fr.Heartbeat)
			continue
		}
		ha.HandleFrame(fr)
	}
	return nil
}

// sendHeartbeats queues a heartbeat every HeartbeatPeriod. It returns ErrSilent if nothing has
// arrived for MaxSilence, or nil once the context is canceled.
func (co *Conn) sendHeartbeats(ctx context.Context, ha Handler) error {
	ticker := time.NewTicker(HeartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if time.Since(co.start)-time.Duration(co.lastReceived.Load()) >= MaxSilence {
			return ErrSilent
		}
		he := ha.Heartbeat()
		co.TrySend(&wire.Frame{Heartbeat: &he})
	}
}

// recordReceipt stores the current time as that of the last received message.
func (co *Conn) recordReceipt() {
	co.lastReceived.Store(int64(time.Since(co.start)))
}
