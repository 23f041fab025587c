package direct

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

func FuzzReadEvent(fu *testing.F) {
	fu.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
	fu.Add([]byte("x-version: 3\nid: 1\r\ndata: x\r\n\r\nid: 2\ndata"))
	fu.Add([]byte("\n\n\n"))
	fu.Fuzz(func(t *testing.T, data []byte) {
		rd := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(data)), eventBufferBytes)
		got := []byte(nil)
		for {
			ev, err := readEvent(rd, nil)
			got = append(got, ev...)
			if err == nil {
				if !bytes.HasSuffix(ev, []byte("\n\n")) && !bytes.HasSuffix(ev, []byte("\r\n\r\n")) {
					t.Fatalf("event %q does not end", ev)
				}
				if id, ok := eventID(ev); ok && !bytes.Contains(ev, []byte(id)) {
					t.Fatalf("event %q has the id %q", ev, id)
				}
				continue
			}
			if whole := errors.Is(err, io.EOF); whole != (len(ev) == 0) {
				t.Fatalf("%q at the end of the stream with %v", ev, err)
			}
			break
		}
		if !bytes.Equal(got, data) {
			t.Fatalf("read %q of %q", got, data)
		}
	})
}
