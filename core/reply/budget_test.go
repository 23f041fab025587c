package reply

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(buf []byte) (int, error) { return len(buf), nil }

func TestReadAllFailsForLongerAndBrokenBodies(t *testing.T) {
	bu := Budget{}
	for length, whole := range map[int]bool{0: true, 9: true, 10: true, 11: false, 100_000: false} {
		data, err := bu.ReadAll(strings.NewReader(strings.Repeat("x", length)), 10)
		if (err == nil) != whole || whole && len(data) != length {
			t.Errorf("%d bytes: %d, error %v, want whole %t", length, len(data), err, whole)
		}
	}
	if _, err := bu.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10); err == nil {
		t.Error("a broken body is whole")
	}
	if bu.used != 0 {
		t.Errorf("%d bytes are in use at the end", bu.used)
	}
}

// Endless bodies fail and return their memory, so that others can be read.
func TestBudgetIsReturned(t *testing.T) {
	const bytesMax = 1 << 20
	bu, wg := Budget{BytesMax: 3 << 20}, sync.WaitGroup{}
	for range 50 {
		wg.Go(func() {
			if _, err := bu.ReadAll(zeros{}, bytesMax); !errors.Is(err, ErrTooLong) {
				t.Errorf("an endless body: %v", err)
			}
		})
	}
	wg.Wait()
	if bu.used != 0 {
		t.Errorf("%d bytes are in use at the end", bu.used)
	}
	if data, err := bu.ReadAll(io.LimitReader(zeros{}, bytesMax), bytesMax); err != nil || len(data) != bytesMax {
		t.Errorf("a sound body: %d bytes, error %v", len(data), err)
	}
}
