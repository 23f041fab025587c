package direct

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/conf"
)

// lateListener tells its server late that it has been closed.
type lateListener struct{ net.Listener }

func (ll *lateListener) Accept() (net.Conn, error) {
	nc, err := ll.Listener.Accept()
	if err != nil {
		time.Sleep(100 * time.Millisecond)
	}
	return nc, err
}

// A node without any connection ended with an error, as its listener was closed twice in the stop.
func TestStopClosesTheListenerOnce(t *testing.T) {
	ls, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	no := newNode(Options{Settings: conf.DirectEntrySettings{StopMs: 400}, Logger: zerolog.Nop()})
	sv := httpServers{callers: &http.Server{}, ready: &http.Server{}, peers: &http.Server{}, metrics: &http.Server{}}
	no.callerListener = no.callers.Listener(&lateListener{ls})
	go no.serveCallers(sv.callers, no.callerListener)
	time.Sleep(50 * time.Millisecond)
	if err := no.stop(context.Background(), sv); err != nil {
		t.Errorf("the stop ended with %v", err)
	}
}
