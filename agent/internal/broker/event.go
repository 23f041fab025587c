package broker

import (
	"context"

	"github.com/bambooladder/bambooladder/agent/internal/client"
	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

// Session is the connection of one entry node, a link.Conn. Send blocks while the connection's queue is
// full; TrySend returns false instead.
type Session interface {
	Send(ctx context.Context, frames ...*wire.Frame) error
	TrySend(fr *wire.Frame) bool
}

// event is an input to the broker; exactly one field is set.
type event struct {
	opened        *sessionOpened
	closed        *sessionClosed
	frameReceived *sessionFrame
	forwardEnded  *forwardResult
	loadEnded     *orderResult
	unloadEnded   *orderResult
	inspection    *inspectionResult
	drain         *drainRequest
	// logTime is the time of a log record in Unix milliseconds.
	logTime int64
}

// sessionOpened is the event that an entry node connected.
type sessionOpened struct {
	se Session
}

// sessionClosed is the event that a connection was lost.
type sessionClosed struct {
	se Session
}

// sessionFrame is a frame that an entry node sent.
type sessionFrame struct {
	se Session
	fr *wire.Frame
}

// forwardOutcome is how a forwarded request ended.
type forwardOutcome int

const (
	// answered means that the end of the answer, complete or not, was sent to the entry node and that
	// an engine no longer runs the request. A plain service cannot cancel, and may still run a
	// request whose answer is incomplete.
	answered forwardOutcome = iota
	// notRun means that the backend server has not run the request.
	notRun
	// handleNotFound means that the engine does not know the adapter's handle and has not run the
	// request.
	handleNotFound
	// mayStillRun means that the request was given up, but that the engine has not confirmed that it
	// stopped it.
	mayStillRun
)

// forwardResult is the result of forwarding a request to the backend server.
type forwardResult struct {
	attempt string
	handle  string
	outcome forwardOutcome
	reason  string
	// boot identifies the engine process that answered, empty if none did.
	boot string
	// abandoned is true if the request was given up before its end.
	abandoned bool
}

// orderResult is the result of a load or unload order.
type orderResult struct {
	handle string
	result sched.Result
	// boot identifies the engine process that answered, empty if none did.
	boot string
}

// inspectionResult is the engine's answer to an inspection, or the error.
type inspectionResult struct {
	iv  client.Inventory
	err error
}

// drainRequest starts the drain; drained is closed at its end.
type drainRequest struct {
	drained chan struct{}
}
