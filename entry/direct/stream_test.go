package direct

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
)

// FuzzReadEventSplitsAtBlankLinesAndKeepsEveryByte splits random data into events. Each event
// must end with a blank line and contain its own ID, and no byte of the input may be lost or
// added.
func FuzzReadEventSplitsAtBlankLinesAndKeepsEveryByte(fu *testing.F) {
	fu.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
	fu.Add([]byte("x-version: 3\nid: 1\r\ndata: x\r\n\r\nid: 2\ndata"))
	fu.Add([]byte("\n\n\n"))
	fu.Fuzz(func(t *testing.T, data []byte) {
		rd := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(data)), eventBufferBytes)
		got := []byte(nil)
		for {
			ev, err := readEvent(rd, nil, func(int) bool { return true })
			got = append(got, ev...)
			if err == nil {
				if !bytes.HasSuffix(ev, []byte("\n\n")) && !bytes.HasSuffix(ev, []byte("\r\n\r\n")) {
					t.Fatalf("event %q does not end with a blank line", ev)
				}
				if id, ok := eventID(ev); ok && !bytes.Contains(ev, []byte(id)) {
					t.Fatalf("event %q does not contain its ID %q", ev, id)
				}
				continue
			}
			if atEventEnd := errors.Is(err, io.EOF); atEventEnd != (len(ev) == 0) {
				t.Fatalf("readEvent returned %q with %v at the end of the stream", ev, err)
			}
			break
		}
		if !bytes.Equal(got, data) {
			t.Fatalf("the events contain %q, want %q", got, data)
		}
	})
}

// The time that a caller takes must not count as a pause of its server: the agent would grant prompts in smaller bursts.
func TestPauseOfTheCallerIsNoneOfTheServer(t *testing.T) {
	at, start := &attempt{}, time.Now()
	at.recordReceived(start)
	at.recordDelivered(start.Add(3 * time.Second))
	at.recordReceived(start.Add(3100 * time.Millisecond))
	if at.longestPause != 100*time.Millisecond {
		t.Errorf("the longest pause is %v, want 100 ms", at.longestPause)
	}
}
