package direct

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/bambooladder/bambooladder/entry/internal/abort"
)

// callerConnKey is the key of a request's callerConn in its context.
type callerConnKey struct{}

// callerConn is a connection of a caller.
type callerConn struct {
	openedAt time.Time
	// requests is the number of requests that have been read on it.
	requests atomic.Int64
}

// callerConnContext adds what the node knows of a caller's connection to the context of its requests.
func callerConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(abort.ConnContext(ctx, nc), callerConnKey{}, &callerConn{openedAt: time.Now()})
}

// countRequest counts a request on its connection, and returns how many the connection has brought and how old it is.
func countRequest(ctx context.Context) (requests int64, age time.Duration) {
	cc, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 1, 0
	}
	return cc.requests.Add(1), time.Since(cc.openedAt)
}
