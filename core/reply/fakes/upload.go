package fakes

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

const (
	// UploadBytes is more than the sockets of a connection hold.
	UploadBytes = 16 << 20
	// uploadRuns is how often an upload is answered, as the reset of a connection meets a write or a read.
	uploadRuns = 20
	// earlyRuns is how often an upload is answered in each orderly way.
	earlyRuns = 3
)

// Upload sends a request with a body of UploadBytes to an address, and returns the answer's status and what can be read of its body.
type Upload func(address string) (int, string, error)

// CheckReset reports answers without a length that are whole to their reader, though the connection is reset while the request is
// being written.
func CheckReset(t *testing.T, up Upload) {
	t.Helper()
	whole := 0
	for range uploadRuns {
		if _, _, err := up(Serve(t, Send("HTTP/1.1 200 OK\r\n\r\na part", Reset))); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d answers that were reset are whole", whole, uploadRuns)
	}
}

// CheckEarly reports early answers that are not whole to their reader, though the connection ends in an orderly way.
func CheckEarly(t *testing.T, up Upload) {
	t.Helper()
	for how, end := range Endings() {
		for _, framed := range []string{"Content-Length: 4\r\n\r\nfull", "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", "\r\nfull"} {
			for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable} {
				answer := Send(fmt.Sprintf("HTTP/1.1 %d Early\r\n%s", status, framed), end)
				checkWhole(t, up, answer, earlyRuns, status, fmt.Sprintf("a server that %s, %q", how, framed))
			}
		}
	}
}

// CheckRefusal reports refusals with a length that are not whole to their reader, from a server that closes the connection without
// reading on, which resets it.
func CheckRefusal(t *testing.T, up Upload) {
	t.Helper()
	checkWhole(t, up, Send("HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull", Close), uploadRuns, http.StatusServiceUnavailable, "a refusal")
}

// checkWhole reports answers that do not have a status and the body "full".
func checkWhole(t *testing.T, up Upload, answer func(nc *net.TCPConn), runs, status int, what string) {
	t.Helper()
	for range runs {
		if got, text, err := up(Serve(t, answer)); err != nil || got != status || text != "full" {
			t.Errorf("%s: status %d, want %d, body %q, error %v", what, got, status, text, err)
		}
	}
}
