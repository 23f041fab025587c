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

	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// HeartbeatPeriod is the time between heartbeats.
	HeartbeatPeriod = time.Second
	// SilenceMax is the time without a frame after which a connection is given up.
	SilenceMax = 3 * time.Second
	// Path is where agents accept connections.
	Path = "/link"

	outboundMax = 256
	// messageBytes is the size from which a message takes no more frames.
	messageBytes = 64 << 10
	writeTimeout = SilenceMax
)

// ErrSilent is the cause of a connection closed for lack of heartbeats.
var ErrSilent = errors.New("link: the peer sent nothing for 3 s; it is dialled again")

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Handler takes the frames of a connection in their order.
type Handler interface {
	// Frame takes one frame that is not a heartbeat; it must not block.
	Frame(fr *wire.Frame)
	// Beat takes the peer's heartbeat.
	Beat(he *wire.Heartbeat)
	// Heartbeat returns the heartbeat to send.
	Heartbeat() wire.Heartbeat
}

// Conn is one connection.
type Conn struct {
	ws *websocket.Conn
	// room holds a token for each batch of frames that waits to be written.
	room chan struct{}
	// wake starts the background writer.
	wake chan struct{}
	done chan struct{}
	// ctx ends with Run.
	ctx context.Context

	mu      sync.Mutex
	waiting [][]*wire.Frame
	// writing is true while a goroutine writes what waits.
	writing bool
	encoded bytes.Buffer

	heard atomic.Int64
	// message holds the message being read.
	message bytes.Buffer
	start   time.Time
}

// NewConn wraps a WebSocket connection.
func NewConn(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(wire.ReadBytesMax)
	return &Conn{
		ws: ws, room: make(chan struct{}, outboundMax), wake: make(chan struct{}, 1),
		done: make(chan struct{}), ctx: context.Background(), start: time.Now(),
	}
}

// Dial opens a connection to an agent's address.
func Dial(ctx context.Context, di Dialer, address string) (*Conn, error) {
	hc := &http.Client{Transport: &http.Transport{DialContext: di.DialContext, DisableKeepAlives: true}}
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: hc})
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", address)
	}
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	return NewConn(ws), nil
}

// Accept upgrades an HTTP request to a connection.
func Accept(wr http.ResponseWriter, rq *http.Request) (*Conn, error) {
	ws, err := websocket.Accept(wr, rq, nil)
	if err != nil {
		return nil, errors.Wrap(err, "link: accept")
	}
	return NewConn(ws), nil
}

// Abandon closes a connection that Run was not called on.
func (co *Conn) Abandon() { _ = co.ws.CloseNow() }

// ReadFrame reads one frame before Run was called.
func (co *Conn) ReadFrame(ctx context.Context) (*wire.Frame, error) {
	if err := co.readMessage(ctx); err != nil {
		return nil, err
	}
	fr, _, err := wire.DecodeFirst(co.message.Bytes())
	return fr, err
}

// readMessage reads one WebSocket message into the buffer.
func (co *Conn) readMessage(ctx context.Context) error {
	_, rd, err := co.ws.Reader(ctx)
	if err != nil {
		return errors.Wrap(err, "link: read")
	}
	co.message.Reset()
	_, err = co.message.ReadFrom(rd)
	return errors.Wrap(err, "link: read")
}

// WriteFrame writes one frame before Run was called.
func (co *Conn) WriteFrame(ctx context.Context, fr *wire.Frame) error {
	buf := bytes.Buffer{}
	if err := wire.Append(&buf, fr); err != nil {
		return err
	}
	return errors.Wrap(co.ws.Write(ctx, websocket.MessageBinary, buf.Bytes()), "link: write")
}

// Run carries frames until the connection fails, falls silent or the context ends, and returns the cause.
func (co *Conn) Run(ctx context.Context, ha Handler) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	co.ctx = ctx
	co.touch()
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		cancel(co.write(ctx))
	}()
	watcher := make(chan struct{})
	go func() {
		defer close(watcher)
		if err := co.watch(ctx, ha); err != nil {
			cancel(err)
		}
	}()
	err := co.read(ctx, ha)
	cancel(err)
	close(co.done)
	_ = co.ws.CloseNow()
	<-writer
	<-watcher
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// read hands frames to the handler.
func (co *Conn) read(ctx context.Context, ha Handler) error {
	for {
		if err := co.readMessage(ctx); err != nil {
			return err
		}
		co.touch()
		if err := handleAll(co.message.Bytes(), ha); err != nil {
			return err
		}
	}
}

// handleAll hands the frames of one message to the handler.
func handleAll(data []byte, ha Handler) error {
	for len(data) > 0 {
		fr, rest, err := wire.DecodeFirst(data)
		if err != nil {
			return err
		}
		data = rest
		if fr.Heartbeat != nil {
			ha.Beat(fr.Heartbeat)
			continue
		}
		ha.Frame(fr)
	}
	return nil
}

// watch sends heartbeats and gives up a silent connection.
func (co *Conn) watch(ctx context.Context, ha Handler) error {
	tick := time.NewTicker(HeartbeatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if time.Since(co.start)-time.Duration(co.heard.Load()) >= SilenceMax {
			return ErrSilent
		}
		he := ha.Heartbeat()
		co.TrySend(&wire.Frame{Heartbeat: &he})
	}
}

// touch records that something arrived.
func (co *Conn) touch() {
	co.heard.Store(int64(time.Since(co.start)))
}
