package broker

import (
	"context"

	"github.com/bambooladder/bambooladder/agent/internal/client"
	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

// Session is a connection of an entry node.
type Session interface {
	Send(ctx context.Context, frames ...*wire.Frame) error
	TrySend(fr *wire.Frame) bool
}

// event is one thing that happened; exactly one field is set.
type event struct {
	opened  *sessionOpened
	closed  *sessionClosed
	frame   *sessionFrame
	ended   *attemptEnded
	loaded  *orderDone
	dropped *orderDone
	held    *inspected
	leave   *leaveAsked
	logTime int64
}

// sessionOpened tells that an entry node connected.
type sessionOpened struct {
	se Session
}

// sessionClosed tells that a connection was lost.
type sessionClosed struct {
	se Session
}

// sessionFrame is a frame of an entry node.
type sessionFrame struct {
	se Session
	fr *wire.Frame
}

// ending is how a forwarded request ended.
type ending int

const (
	// answered means that the backend server's answer was passed on, whole or not.
	answered ending = iota
	// notRun means that the backend server has not run the request.
	notRun
	// noHandle means that the engine does not hold the adapter's handle.
	noHandle
	// doubtful means that the request may still run at the engine.
	doubtful
)

// attemptEnded tells that a forwarded request is off the backend server.
type attemptEnded struct {
	attempt string
	handle  string
	how     ending
	reason  string
	boot    string
	// cut is true when the request was given up before its end.
	cut bool
}

// orderDone is the result of a load or unload order.
type orderDone struct {
	handle string
	result sched.Result
	boot   string
}

// inspected is the answer to an inspection.
type inspected struct {
	iv  client.Inventory
	err error
}

// leaveAsked starts the drain; drained closes when no request is left.
type leaveAsked struct {
	drained chan struct{}
}
