package abort

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// lingerer is a connection that can be closed by a reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// ConnContext is the ConnContext function of servers whose handlers call Answer.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Answer breaks off the answer to a request that has begun; it ends the handler by a panic. An answer in chunks ends without
// its last one. A caller of HTTP/1.0 gets no chunks and reads until its connection ends, which must then be a reset.
func Answer(rq *http.Request) {
	if !rq.ProtoAtLeast(1, 1) {
		resetOnClose(rq.Context())
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the connection of a request end by a reset.
func resetOnClose(ctx context.Context) {
	nc, _ := ctx.Value(connKey{}).(net.Conn)
	if inner, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = inner.NetConn()
	}
	if li, ok := nc.(lingerer); ok {
		// A connection that has ended already needs no reset.
		_ = li.SetLinger(0)
	}
}
