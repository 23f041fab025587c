package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/entry/internal/conns"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// server is one of the node's HTTP servers.
type server struct {
	hs    *http.Server
	conns *conns.Set
	ls    net.Listener
	// ended is closed once the server accepts no connections any more.
	ended chan struct{}
}

// idleMax is how long a kept connection waits for its next request in a planned stop.
const idleMax = time.Second

// newServer returns an HTTP server that limits the size of headers and the time to read them, but
// not the duration of a response.
func newServer(ha http.Handler, lg zerolog.Logger) *server {
	set := conns.NewSet(conns.Limits{Idle: idleMax}, lg)
	return &server{
		hs: &http.Server{
			Handler: ha, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnState: set.ConnState,
		},
		conns: set, ended: make(chan struct{}),
	}
}

// serve listens on an address and serves its connections in the background.
func (sv *server) serve(nw Network, address string) error {
	ls, err := nw.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "node: listen on %s", address)
	}
	sv.ls = sv.conns.Listener(ls)
	go func() {
		defer close(sv.ended)
		_ = sv.hs.Serve(sv.ls)
	}()
	return nil
}

// drain accepts no connections any more and waits until those that are open have ended. It returns what is left when
// the context ends.
func (sv *server) drain(ctx context.Context) conns.Counts {
	// A listener that has ended already accepts nothing.
	_ = sv.ls.Close()
	<-sv.ended
	return sv.conns.Drain(ctx)
}
