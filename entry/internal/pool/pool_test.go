package pool

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// deliveryTime is more than loopback takes to deliver a byte or the end of a connection.
const deliveryTime = 50 * time.Millisecond

// newIdleConn returns a pool with one idle connection and the server's end of that connection.
func newIdleConn(t *testing.T) (*Pool, string, net.Conn) {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	po := New(&net.Dialer{}, 0)
	co, err := po.Get(t.Context(), ls.Addr().String(), Want{})
	if err != nil {
		t.Fatal(err)
	}
	far, err := ls.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	co.PutBack()
	return po, ls.Addr().String(), far
}

func TestOpenIdleConnectionIsUsedAgain(t *testing.T) {
	po, address, _ := newIdleConn(t)
	co, err := po.Get(t.Context(), address, Want{RecentlyUsed: true})
	if err != nil || !co.Reused {
		t.Errorf("connection %+v, error %v, want the idle one", co, err)
	}
}

// A server may state any number of seconds, also one that no duration can hold.
func TestIdleTimeoutOfAServerIsBounded(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "timeout=0": 0, "max=3, timeout=7": 7 * time.Second, "timeout=x": defaultIdleTimeout, "timeout=-3": defaultIdleTimeout,
		"timeout=9223372037": maxIdleTimeout, "timeout=18446744073": maxIdleTimeout, "timeout=99999999999999999999": defaultIdleTimeout,
	} {
		co := &Conn{idleTimeout: defaultIdleTimeout}
		co.updateIdleTimeout(http.Header{"Keep-Alive": {text}})
		if co.idleTimeout != want {
			t.Errorf("%q: %v, want %v", text, co.idleTimeout, want)
		}
	}
}

// A request that is sent on a connection that the server has closed is lost, and may not be sent again
// if it must not run twice.
func TestIdleConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	for name, end := range map[string]func(far net.Conn){
		"closed": func(far net.Conn) { _ = far.Close() },
		"reset": func(far net.Conn) {
			if tc, ok := far.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			_ = far.Close()
		},
		"with bytes that belong to no request": func(far net.Conn) { _, _ = far.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			po, address, far := newIdleConn(t)
			end(far)
			time.Sleep(deliveryTime)
			co, err := po.Get(t.Context(), address, Want{RecentlyUsed: true})
			if err != nil || co.Reused {
				t.Errorf("the idle connection is used again, error %v", err)
			}
		})
	}
}

// A request that is sent again must not get a connection that has carried it: the answer to its first sending
// may come there once more.
func TestConnectionThatIsExceptedIsNotUsed(t *testing.T) {
	po, address, _ := newIdleConn(t)
	used := po.idle[address][0].Number
	co, err := po.Get(t.Context(), address, Want{Except: []uint64{used}})
	if err != nil || co.Reused || co.Number == used {
		t.Errorf("connection %+v, error %v, want a new one", co, err)
	}
	other, err := po.Get(t.Context(), address, Want{})
	if err != nil || other.Number != used {
		t.Errorf("connection %+v, error %v, want the one that is idle", other, err)
	}
}

// Idle connections that a request may not use must not make it fail for want of a new one.
func TestIdleConnectionGivesWayToANewOneAtTheLimit(t *testing.T) {
	po, address, far := newIdleConn(t)
	used := po.idle[address][0].Number
	co, err := po.Get(t.Context(), address, Want{Except: []uint64{used}, Limit: 1})
	if err != nil || co.Number == used || po.openCount[address] != 1 {
		t.Errorf("connection %+v, error %v, %d open, want a new one alone", co, err, po.openCount[address])
	}
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection stays open")
	}
	if _, err := po.Get(t.Context(), address, Want{Limit: 1}); !errors.Is(err, ErrConnectionLimit) {
		t.Errorf("error %v with all connections in use, want %v", err, ErrConnectionLimit)
	}
}
