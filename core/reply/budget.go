package reply

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBudgetBytes is the default size of a Budget.
	defaultBudgetBytes = 128 << 20
	// firstBufferBytes is the size of the first buffer of a body.
	firstBufferBytes = 4 << 10
)

// ErrTooLong means that a body exceeds its limit or the memory that is left for it.
var ErrTooLong = errors.New("reply: the body of the response is too long; look at what the server sends")

// Budget limits the memory of the bodies that are being read. Bodies that have arrived whole do not count. The zero value has the
// default size.
type Budget struct {
	// BytesMax is the size in bytes, zero for the default.
	BytesMax int

	mu   sync.Mutex
	used int
}

// take reserves memory, and reports whether there is enough.
func (bu *Budget) take(count int) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bytesMax := bu.BytesMax
	if bytesMax == 0 {
		bytesMax = defaultBudgetBytes
	}
	if bu.used+count > bytesMax {
		return false
	}
	bu.used += count
	return true
}

// release returns memory.
func (bu *Budget) release(count int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.used -= count
}

// ReadAll reads a whole body. It fails with ErrTooLong if the body has more than bytesMax bytes or the budget is used up.
func (bu *Budget) ReadAll(body io.Reader, bytesMax int) ([]byte, error) {
	taken := 0
	defer func() { bu.release(taken) }()
	return ReadAll(body, bytesMax, func(size int) bool {
		// The smaller buffer is needed until its contents are copied.
		if !bu.take(size) {
			return false
		}
		bu.release(taken)
		taken = size
		return true
	})
}

// ReadAll reads a whole body. It calls grow with each size of its buffer. It fails with ErrTooLong if the body has more than bytesMax
// bytes or grow returns false.
func ReadAll(body io.Reader, bytesMax int, grow func(size int) bool) ([]byte, error) {
	data := []byte(nil)
	for {
		if len(data) == cap(data) {
			size := min(max(firstBufferBytes, 2*cap(data)), bytesMax+1)
			if !grow(size) {
				return nil, errors.Wrapf(ErrTooLong, "no memory beyond %d bytes", len(data))
			}
			data = append(make([]byte, 0, size), data...)
		}
		count, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case len(data) > bytesMax:
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", bytesMax)
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return data, nil
		case err != nil:
			return nil, errors.Wrap(err, "reply: read body")
		}
	}
}
