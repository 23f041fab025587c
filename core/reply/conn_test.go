package reply

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

const (
	// uploadBytes is more than the sockets of a connection hold.
	uploadBytes = 32 << 20
	// settleTime is how long the loopback interface and the goroutines of a test may take.
	settleTime = 150 * time.Millisecond
)

// upload sends a long request to a server that responds with a text at once and then ends the connection. It returns what can be read,
// during the write or after its end.
func upload(t *testing.T, text string, end func(nc *net.TCPConn), readsLate bool) (string, error) {
	t.Helper()
	nc, err := net.Dial("tcp", fakes.Serve(t, fakes.Send(text, end)))
	if err != nil {
		t.Fatal(err)
	}
	co := NewConn(nc)
	defer func() { _ = co.Close() }()
	go func() {
		_, _ = co.WriteParts(net.Buffers{[]byte("POST / HTTP/1.1\r\n\r\n"), make([]byte, uploadBytes)})
	}()
	if readsLate {
		time.Sleep(settleTime)
	}
	data, err := io.ReadAll(co)
	return string(data), err
}

// A server resets the connection during an upload. Reads must return an error other than io.EOF, whether the write or the read gets
// the error of the reset.
func TestResetDuringAWriteIsNoOrderlyClose(t *testing.T) {
	for readsLate, runs := range map[bool]int{false: 20, true: 2} {
		for range runs {
			if text, err := upload(t, "a part", fakes.Reset, readsLate); err == nil || text != "a part" {
				t.Errorf("read late %t: %q, error %v", readsLate, text, err)
			}
		}
	}
}

// A server closes the connection in an orderly way during an upload. Reads must return io.EOF, whatever error the write gets.
func TestOrderlyCloseDuringAWriteIsOne(t *testing.T) {
	for name, end := range fakes.Endings() {
		for readsLate, runs := range map[bool]int{false: 10, true: 2} {
			for range runs {
				if text, err := upload(t, "all of it", end, readsLate); err != nil || text != "all of it" {
					t.Errorf("%s, read late %t: %q, error %v", name, readsLate, text, err)
				}
			}
		}
	}
}

// lateWriter is a connection whose write gets the error of the reset, and returns after the read.
type lateWriter struct {
	net.Conn
	answer io.Reader
	met    chan struct{}
}

var errReset = errors.New("reset")

func (lw *lateWriter) Read(buf []byte) (int, error) {
	count, err := lw.answer.Read(buf)
	if err != nil {
		close(lw.met)
	}
	return count, err
}

func (lw *lateWriter) Write([]byte) (int, error) {
	<-lw.met
	time.Sleep(settleTime)
	return 0, errReset
}

func (lw *lateWriter) SetWriteDeadline(time.Time) error { return nil }

func TestReadWaitsForTheErrorOfAWriteInProgress(t *testing.T) {
	co := NewConn(&lateWriter{answer: strings.NewReader("a part"), met: make(chan struct{})})
	go func() { _, _ = co.WriteParts(net.Buffers{[]byte("head"), []byte("body")}) }()
	time.Sleep(settleTime)
	if data, err := io.ReadAll(co); !errors.Is(err, errReset) || string(data) != "a part" {
		t.Errorf("read %q, error %v", data, err)
	}
}
