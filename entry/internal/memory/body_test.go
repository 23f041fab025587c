package memory

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/fault"
)

// A caller that sends its whole body before it reads gets the refusal, not a reset, on a real connection.
func TestRefusedCallerMaySendAllBeforeItReads(t *testing.T) {
	const length, parts, pause = 2 << 20, 64, 20 * time.Millisecond
	bu := &Budget{bytesMax: testBudget}
	if !bu.reserve(newHold(bu), bu.largeMax(), time.Now()) {
		t.Fatal("the budget cannot be used up")
	}
	hs := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		ho, fe := Hold{}, &fault.Error{}
		defer ho.Release()
		if _, err := ho.Read(rq.Context(), bu, wr, rq, length); !errors.As(err, &fe) {
			t.Errorf("the body is not refused: %v", err)
		}
		wr.WriteHeader(http.StatusServiceUnavailable)
		ho.Linger(wr, rq)
	}))
	defer hs.Close()
	nc, err := net.Dial("tcp", hs.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_, _ = fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
	for range parts {
		if _, err := nc.Write(make([]byte, length/parts)); err != nil {
			t.Fatalf("the connection ended before all was sent: %v", err)
		}
		time.Sleep(pause)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}
