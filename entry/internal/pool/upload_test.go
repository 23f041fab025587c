package pool

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

const (
	// uploadBytes is more than the sockets of a connection hold.
	uploadBytes = 16 << 20
	// uploadRuns is how often an upload is answered, as the reset of a connection meets a write or a read.
	uploadRuns = 20
)

// upload sends a long request to a server that answers it at once and then ends the connection by end. It returns the answer's
// status and what can be read of its body.
func upload(t *testing.T, answer string, end func(nc *net.TCPConn)) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
	defer cancel()
	co, err := New(&net.Dialer{}, 0).Get(ctx, fakes.Serve(t, fakes.Send(answer, end)), Want{})
	if err != nil {
		t.Fatal(err)
	}
	an, err := co.Do(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, uploadBytes)}, func(http.Header) bool { return true })
	if err != nil {
		return 0, "", err
	}
	defer an.Close()
	data, err := io.ReadAll(an.Body)
	return an.Status, string(data), err
}

// A server answers a long upload at once, without a length, and resets the connection while the rest of the upload is being
// written. What has arrived must not pass for the whole answer.
func TestAnswerThatIsResetWhileTheUploadIsWrittenIsNotWhole(t *testing.T) {
	whole := 0
	for range uploadRuns {
		if _, _, err := upload(t, "HTTP/1.1 200 OK\r\n\r\na part", fakes.Reset); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d answers that were reset are whole", whole, uploadRuns)
	}
}

// A server answers a long upload early and ends the connection in an orderly way, in any of several ways. The answer is whole.
func TestEarlyAnswerToAnUploadIsWhole(t *testing.T) {
	for how, end := range fakes.Endings() {
		for _, framed := range []string{"Content-Length: 4\r\n\r\nfull", "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", "\r\nfull"} {
			for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable} {
				for range 3 {
					got, text, err := upload(t, fmt.Sprintf("HTTP/1.1 %d Early\r\n%s", status, framed), end)
					if err != nil || got != status || text != "full" {
						t.Errorf("a server that %s, %q: status %d, want %d, body %q, error %v", how, framed, got, status, text, err)
					}
				}
			}
		}
	}
}

// A server refuses a long upload, states the length of its answer and closes the connection without reading on, which resets it.
func TestRefusalOfAnUploadWithALengthIsWhole(t *testing.T) {
	for range uploadRuns {
		status, body, err := upload(t, "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nbusy", fakes.Close)
		if err != nil || status != http.StatusServiceUnavailable || body != "busy" {
			t.Errorf("status %d, body %q, error %v", status, body, err)
		}
	}
}
