package reply

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// defaultRoomBytes is the default size of a room.
	defaultRoomBytes = 128 << 20
	// firstBufferBytes is the size of the first buffer of a body.
	firstBufferBytes = 4 << 10
)

// ErrTooLong means that a body has more bytes than an answer may have, or than there is room for beside others that are being read.
var ErrTooLong = errors.New("reply: the answer is too long; look at what the server sends")

// Room bounds the bodies that are read at the same time. What has arrived whole does not count any more. The zero value has 128 MiB.
type Room struct {
	// BytesMax is the size of the room in bytes, zero for the default.
	BytesMax int

	mu   sync.Mutex
	held int
}

// take counts more bytes, and reports whether there is room for them.
func (ro *Room) take(count int) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	bytesMax := ro.BytesMax
	if bytesMax == 0 {
		bytesMax = defaultRoomBytes
	}
	if ro.held+count > bytesMax {
		return false
	}
	ro.held += count
	return true
}

// release gives bytes back.
func (ro *Room) release(count int) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.held -= count
}

// ReadAll reads a whole body of bytesMax bytes at most. It fails with ErrTooLong if the body is longer or there is no room for it.
func (ro *Room) ReadAll(body io.Reader, bytesMax int) ([]byte, error) {
	taken := 0
	defer func() { ro.release(taken) }()
	return ReadAll(body, bytesMax, func(size int) bool {
		// While a buffer grows, the one before is still there.
		if !ro.take(size) {
			return false
		}
		ro.release(taken)
		taken = size
		return true
	})
}

// ReadAll reads a whole body of bytesMax bytes at most into a buffer that grows where grow allows its size. It fails with
// ErrTooLong if the body is longer or its buffer must not grow.
func ReadAll(body io.Reader, bytesMax int, grow func(size int) bool) ([]byte, error) {
	data := []byte(nil)
	for {
		if len(data) == cap(data) {
			size := min(max(firstBufferBytes, 2*cap(data)), bytesMax+1)
			if !grow(size) {
				return nil, errors.Wrapf(ErrTooLong, "no room beyond %d bytes", len(data))
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
