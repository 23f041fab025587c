package proofs

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// uploadBytes is more than the sockets of a connection hold that is not read.
	uploadBytes = 7 << 20
	// uploadRuns is the number of uploads to each server, as either a write or a read may get the error of a reset.
	uploadRuns = 20
	// uploadPause is how long the loopback interface may take.
	uploadPause = 20 * time.Millisecond
)

// upload sends a long request, and returns the answer's status and body, and an error if it is not whole.
func (hl *hostileLoad) upload(service string) (int, string, error) {
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+hl.entry+"/"+service+"/x", strings.NewReader(strings.Repeat("u", uploadBytes)))
	if err != nil {
		return 0, "", err
	}
	rq.Host = directHost
	rq.Header.Set(headerID, fmt.Sprintf("upload-%d", hl.number.Add(1)))
	rq.Header.Set(headerTimeout, "2000")
	resp, err := hl.client.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// resetConn ends a connection by a reset.
func resetConn(nc net.Conn) {
	time.Sleep(uploadPause)
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

// closeInOrder ends what a connection sends in an orderly way and reads the rest of the upload.
func closeInOrder(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, nc)
}

// A server answers a long upload at once, without a length, and its connection ends while the upload is still being written. After
// a reset, what has arrived is not a whole answer; after an orderly end it is, and is passed on.
func TestDirectAnswerThatIsResetBesideItsUploadIsNotWhole(t *testing.T) {
	hl := newHostileLoad(t)
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	answer := func(lines, body string, end func(nc net.Conn)) func(nc net.Conn, id string) {
		return func(nc net.Conn, id string) {
			_, _ = io.WriteString(nc, hostileHead(id)+lines+"\r\n"+body)
			end(nc)
		}
	}
	hl.serve("reset", 0, answer("", "a part", resetConn))
	hl.serve("reset-events", 0, answer("Content-Type: text/event-stream\r\n", events, resetConn))
	hl.serve("early", 0, answer("", "all of it", closeInOrder))
	hl.serve("early-events", 0, answer("Content-Type: text/event-stream\r\n", events, closeInOrder))
	time.Sleep(time.Second)
	for _, service := range []string{"reset", "reset-events"} {
		whole := 0
		for range uploadRuns {
			status, body, err := hl.upload(service)
			if status == http.StatusOK && err == nil {
				whole++
				t.Logf("%s: whole %q", service, body)
			}
		}
		if whole > 0 {
			t.Errorf("%s: %d of %d answers that were reset are whole", service, whole, uploadRuns)
		}
	}
	for service, want := range map[string]string{"early": "all of it", "early-events": events} {
		for range uploadRuns {
			status, body, err := hl.upload(service)
			if status != http.StatusOK || body != want || err != nil {
				t.Errorf("%s: status %d, %q, error %v", service, status, body, err)
			}
		}
	}
}

// A server refuses a long upload without a length and closes the connection at once, which resets it. Its head says that the request
// has not run, and the caller must learn that.
func TestDirectRefusalThatIsResetBesideItsUploadIsARefusal(t *testing.T) {
	hl := newHostileLoad(t)
	hl.serve("refused", 0, func(nc net.Conn, id string) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\n\r\nfull", headerID, id, headerNotRun)
		_ = nc.Close()
	})
	time.Sleep(time.Second)
	for range uploadRuns {
		if status, body, err := hl.upload("refused"); status != http.StatusServiceUnavailable || err != nil || !strings.Contains(body, `"outcome":"not_run"`) {
			t.Errorf("status %d, %q, error %v", status, body, err)
		}
	}
}
