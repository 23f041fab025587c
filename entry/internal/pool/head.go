package pool

import (
	"io"

	"github.com/cockroachdb/errors"
)

// keptHeadBytes is the capacity up to which a connection keeps its buffer for heads.
const keptHeadBytes = 4 << 10

// ErrHeadTooLong means that a server sent more than the bound before the end of a head. It ends the exchange and its connection.
var ErrHeadTooLong = errors.New("pool: the head of the answer exceeds its bound; look at what the server sends")

// headReader reads from a server and bounds what it reads while it waits for heads. Outside of heads it
// only passes on.
type headReader struct {
	src io.Reader
	// inHead is true while a head is read.
	inHead bool
	// left is the number of bytes that heads may still have, of max for all of an exchange.
	left, max int
	// seen holds what was read of the present head, and of what follows it.
	seen []byte
}

// Read implements io.Reader. It returns ErrHeadTooLong once the bound is reached.
func (hr *headReader) Read(buf []byte) (int, error) {
	if !hr.inHead {
		return hr.src.Read(buf)
	}
	if hr.left <= 0 {
		return 0, errors.Wrapf(ErrHeadTooLong, "%d bytes", hr.max)
	}
	count, err := hr.src.Read(buf[:min(len(buf), hr.left)])
	hr.left -= count
	hr.seen = append(hr.seen, buf[:count]...)
	return count, err
}

// allow sets the bound of the heads of an exchange.
func (hr *headReader) allow(headBytesMax int) { hr.left, hr.max = headBytesMax, headBytesMax }

// begin begins a head, of which some bytes have been read already.
func (hr *headReader) begin(read []byte) {
	hr.inHead = true
	hr.seen = append(hr.seen[:0], read...)
}

// end ends a head and returns it. The argument is the number of bytes that were read beyond it.
func (hr *headReader) end(beyond int) []byte {
	hr.inHead = false
	head := hr.seen[:max(0, len(hr.seen)-beyond)]
	if cap(hr.seen) > keptHeadBytes {
		hr.seen = nil
	}
	return head
}
