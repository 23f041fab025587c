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
	// uploadRuns is the number of uploads, as either a write or a read may get the error of a reset.
	uploadRuns = 20
	// earlyRuns is the number of uploads for each way to close the connection.
	earlyRuns = 3
)

// Upload sends a request with a body of UploadBytes to an address, and returns the answer's status and what can be read of its body.
type Upload func(address string) (int, string, error)

// CheckReset reports responses without a length that a client takes for whole although the connection is reset during the upload.
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

// CheckEarly reports early responses that a client does not take for whole although the connection is closed in an orderly way.
func CheckEarly(t *testing.T, up Upload) {
	t.Helper()
	for how, end := range Endings() {
		for _, framed := range framings() {
			for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable} {
				answer := Send(fmt.Sprintf("HTTP/1.1 %d Early\r\n%s", status, framed), end)
				checkWhole(t, up, answer, earlyRuns, status, fmt.Sprintf("a server that %s, %q", how, framed))
			}
		}
	}
}

// CheckInterim reports responses that a client does not take for whole after interim ones.
func CheckInterim(t *testing.T, up Upload) {
	t.Helper()
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\nLink: b\r\n\r\n"
	for _, framed := range framings() {
		answer := Send(interim+"HTTP/1.1 200 OK\r\n"+framed, Endings()["reads the rest"])
		checkWhole(t, up, answer, earlyRuns, http.StatusOK, fmt.Sprintf("after interim responses, %q", framed))
	}
}

// framings returns the rests of heads with the body "full", one for each framing.
func framings() []string {
	return []string{"Content-Length: 4\r\n\r\nfull", "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", "\r\nfull"}
}

// CheckRefusal reports refusals with a length that a client does not take for whole if the server closes the connection at once, which
// resets it.
func CheckRefusal(t *testing.T, up Upload) {
	t.Helper()
	checkWhole(t, up, Send("HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull", Close), uploadRuns, http.StatusServiceUnavailable, "a refusal")
}

// checkWhole reports responses other than whole ones with a status and the body "full".
func checkWhole(t *testing.T, up Upload, answer func(nc *net.TCPConn), runs, status int, what string) {
	t.Helper()
	for range runs {
		if got, text, err := up(Serve(t, answer)); err != nil || got != status || text != "full" {
			t.Errorf("%s: status %d, want %d, body %q, error %v", what, got, status, text, err)
		}
	}
}
