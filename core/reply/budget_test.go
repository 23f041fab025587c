package reply

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// zeros is a body without an end.
type zeros struct{}

func (zeros) Read(buf []byte) (int, error) { return len(buf), nil }

func TestReadAllFailsForLongerAndBrokenBodies(t *testing.T) {
	ro := Room{}
	for length, whole := range map[int]bool{0: true, 9: true, 10: true, 11: false, 100_000: false} {
		data, err := ro.ReadAll(strings.NewReader(strings.Repeat("x", length)), 10)
		if (err == nil) != whole || whole && len(data) != length {
			t.Errorf("%d bytes: %d, error %v, want whole %t", length, len(data), err, whole)
		}
	}
	if _, err := ro.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10); err == nil {
		t.Error("a broken body is whole")
	}
	if ro.held != 0 {
		t.Errorf("%d bytes count at the end", ro.held)
	}
}

// Bodies without an end fail, one after another, and leave the room to others.
func TestRoomIsBoundedAndComesBack(t *testing.T) {
	const bytesMax = 1 << 20
	ro, wg := Room{BytesMax: 3 << 20}, sync.WaitGroup{}
	for range 50 {
		wg.Go(func() {
			if _, err := ro.ReadAll(zeros{}, bytesMax); !errors.Is(err, ErrTooLong) {
				t.Errorf("a body without an end: %v", err)
			}
		})
	}
	wg.Wait()
	if ro.held != 0 {
		t.Errorf("%d bytes count at the end", ro.held)
	}
	if data, err := ro.ReadAll(io.LimitReader(zeros{}, bytesMax), bytesMax); err != nil || len(data) != bytesMax {
		t.Errorf("a sound body: %d bytes, error %v", len(data), err)
	}
}
