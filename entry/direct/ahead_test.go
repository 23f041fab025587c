package direct

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/entry/internal/memory"
)

// slowWrite is how long the writes to a slow caller take.
const slowWrite = time.Second

// deliver reads a body in parts, as a stream is, with a slow write after each part, and returns what was read.
func deliver(ra *readAhead, slow bool) ([]byte, error) {
	got, part := []byte(nil), make([]byte, 700)
	for {
		count, err := ra.Read(part)
		got = append(got, part[:count]...)
		if err != nil {
			return got, err
		}
		ra.beginWrite()
		if slow {
			time.Sleep(slowWrite)
		}
		ra.endWrite()
	}
}

// What is read ahead must reach the caller whole and in order with the error that ended the body, within the bounds, and
// count no longer afterwards.
func TestReadAheadLosesNothingAndStaysWithinItsBounds(t *testing.T) {
	for name, slow := range map[string]bool{"a caller that reads at once": false, "a slow caller": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bu := &memory.Budget{}
				bu.SetBytes(1 << 20)
				hb := heldBytes{eachMax: 20 << 10, allMax: 30 << 10, budget: bu}
				body := make([]byte, 50_000)
				for ix := range body {
					body[ix] = byte(ix % 251)
				}
				ra := newReadAhead(io.MultiReader(bytes.NewReader(body), brokenBody{}), &hb, func() {})
				got, err := deliver(ra, slow)
				if !bytes.Equal(got, body) || !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("%d bytes and %v, want the %d of the body and its error", len(got), err, len(body))
				}
				ra.release()
				st := bu.Stats()
				if st.Held != 0 || hb.held != 0 {
					t.Errorf("%d bytes count after the end", st.Held)
				}
				if slow != (st.Peak > 0) || st.Peak > 30<<10 {
					t.Errorf("%d bytes were held at most, want none for a caller that reads at once, and no more than the bounds", st.Peak)
				}
			})
		})
	}
}

// brokenBody is a body that has broken off.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// An attempt that ends while the node reads ahead must leave no read behind, and nothing that counts.
func TestReadAheadEndsWithItsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hb := heldBytes{}
		rd, wr := io.Pipe()
		ra := newReadAhead(rd, &hb, func() { _ = rd.Close() })
		ra.beginWrite()
		time.Sleep(slowWrite)
		if _, err := wr.Write([]byte("read while the caller is slow")); err != nil {
			t.Fatal(err)
		}
		ra.endWrite()
		ra.release()
		if hb.held != 0 {
			t.Errorf("%d bytes count after the end", hb.held)
		}
	})
}
