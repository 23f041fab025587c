package memory

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/fault"
)

const (
	// firstBytes is the size of the first buffer of a body of unknown length.
	firstBytes = 4 << 10
	// lingerTime is how long the rest of a refused body is read and dropped: a caller that sends all of it before it
	// reads would see a reset in place of the refusal.
	lingerTime = 3 * time.Second
	// resetDelay is how long a connection whose refused body can't be read stays open after the answer, so that it arrives
	// before a reset.
	resetDelay = 300 * time.Millisecond
)

// Errors of Hold.Read that the caller of a request is to be told.
var (
	// ErrTooLarge means that the body is longer than allowed, or than the node has memory for.
	ErrTooLarge = errors.New("memory: the body is too large; send a smaller one")
	// ErrLate means that the context ended before the body had arrived.
	ErrLate = errors.New("memory: the body did not arrive in time; send it again")
	// ErrBroken means that the body broke off.
	ErrBroken = errors.New("memory: the body did not arrive whole; send it again")
)

// errDisplaced is why the reading of a body ends that arrives too slowly.
var errDisplaced = errors.New("memory: others need the memory of a body that arrives too slowly")

// Hold is the memory of one body. The zero value has none. Release gives it back.
type Hold struct {
	bu *Budget
	// taken and large are the bytes that count for the body, in all and as a large one, since when. The budget's lock guards
	// them.
	taken, large int64
	since        time.Time
	// displaced is true if the body has lost its memory, cancel ends its reading.
	displaced bool
	cancel    context.CancelCauseFunc
	// arrived is the number of bytes that have arrived.
	arrived atomic.Int64
	// refused is true if the rest of the body is not read.
	refused bool
}

// slow reports whether the body has arrived too slowly to keep its memory while others need it.
func (ho *Hold) slow(now time.Time) bool {
	due := now.Sub(ho.since) - startTime
	return due > 0 && float64(ho.arrived.Load()) < rateMin*due.Seconds()
}

// Release gives the memory of the body back.
func (ho *Hold) Release() {
	if ho.bu == nil {
		return
	}
	ho.bu.mu.Lock()
	defer ho.bu.mu.Unlock()
	ho.bu.leave(ho, ho.taken, time.Now())
}

// Read reads a whole body up to a limit, until the context ends. It fails with one of the errors above, or with a *fault.Error
// if the body has no room in the budget; Linger must follow the answer to it.
func (ho *Hold) Read(ctx context.Context, bu *Budget, wr http.ResponseWriter, rq *http.Request, limit int64) ([]byte, error) {
	ho.bu = bu
	if rq.ContentLength > min(limit, bu.largeMax()) {
		return nil, ErrTooLarge
	}
	if rq.ContentLength == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ho.cancel = cancel
	if !bu.reserve(ho, ho.firstSize(rq, limit), time.Now()) {
		return nil, ho.refuse(wr, ho.firstSize(rq, limit))
	}
	bu.begin(ho)
	stop := context.AfterFunc(ctx, func() {
		// Without a deadline on the connection, the handler waits until the caller sends more.
		_ = http.NewResponseController(wr).SetReadDeadline(time.Now())
	})
	data, err := ho.readAll(rq, limit)
	ho.bu.end(ho)
	stopped := stop()
	switch {
	case errors.Is(context.Cause(ctx), errDisplaced), errors.Is(err, errNoRoom):
		return nil, ho.refuse(wr, max(firstBytes, int64(len(data))))
	case !stopped:
		return nil, ErrLate
	}
	return data, err
}

// firstSize returns the size of the first buffer of a body.
func (ho *Hold) firstSize(rq *http.Request, limit int64) int64 {
	if rq.ContentLength > 0 {
		return rq.ContentLength
	}
	return min(limit, firstBytes)
}

// begin adds a body to those that are about to arrive.
func (bu *Budget) begin(ho *Hold) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.reading == nil {
		bu.reading = map[*Hold]struct{}{}
	}
	bu.reading[ho] = struct{}{}
}

// end removes a body from those that are about to arrive.
func (bu *Budget) end(ho *Hold) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	delete(bu.reading, ho)
}

// errNoRoom means that a body of unknown length has outgrown the budget.
var errNoRoom = errors.New("memory: no room")

// readAll reads the body into a buffer that has the size of the body, or grows with it if its length is not known.
func (ho *Hold) readAll(rq *http.Request, limit int64) ([]byte, error) {
	data := make([]byte, 0, ho.firstSize(rq, limit))
	for {
		if int64(len(data)) == rq.ContentLength {
			return data, nil
		}
		if int64(len(data)) == limit {
			return data, ho.checkEnd(rq)
		}
		if len(data) == cap(data) {
			grown, err := ho.grow(data, limit)
			if err != nil {
				return data, err
			}
			data = grown
		}
		count, err := rq.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		ho.arrived.Store(int64(len(data)))
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && (rq.ContentLength < 0 || int64(len(data)) == rq.ContentLength):
			return data, nil
		default:
			return data, ErrBroken
		}
	}
}

// checkEnd reads the end of a body of unknown length that has arrived up to the limit.
func (ho *Hold) checkEnd(rq *http.Request) error {
	for {
		count, err := rq.Body.Read(make([]byte, 1))
		switch {
		case count > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return ErrBroken
		}
	}
}

// grow returns a copy of data with room for more. Both count until it is copied.
func (ho *Hold) grow(data []byte, limit int64) ([]byte, error) {
	size := min(2*int64(cap(data)), limit)
	if !ho.bu.reserve(ho, size, time.Now()) {
		return nil, errNoRoom
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	ho.bu.mu.Lock()
	defer ho.bu.mu.Unlock()
	if !ho.displaced {
		ho.bu.shrink(ho, int64(cap(data)))
	}
	return grown, nil
}

// shrink subtracts the bytes of a smaller buffer that a body has left. The lock must be held.
func (bu *Budget) shrink(ho *Hold, count int64) {
	if count <= smallBytes {
		bu.held -= count
		ho.taken -= count
		return
	}
	bu.held, bu.heldLarge = bu.held-count, bu.heldLarge-count
	ho.taken, ho.large = ho.taken-count, ho.large-count
	bu.sinceSum -= float64(count) * bu.seconds(ho.since)
}

// refuse returns the error for a body that has no room, and lets the answer be written before the body is read.
func (ho *Hold) refuse(wr http.ResponseWriter, count int64) error {
	now := time.Now()
	ho.bu.mu.Lock()
	ho.refused = true
	message, remedy := "the node has no memory for the body now", "send it again"
	if ho.displaced {
		message, remedy = "the body arrived too slowly while others needed its memory", "send it again and faster"
	} else {
		ho.bu.refused++
	}
	ho.bu.leave(ho, ho.taken, now)
	retryAfter := ho.bu.retryAfter(count, now)
	ho.bu.mu.Unlock()
	// Otherwise the server reads a part of the body before it answers.
	wr.Header().Set("Connection", "close")
	return fault.New(fault.Overloaded, message, remedy).WithRetryAfter(retryAfter)
}

// Linger delivers the answer to a refused body, and reads and drops what still comes of the body for a while. It does
// nothing for others.
func (ho *Hold) Linger(wr http.ResponseWriter, rq *http.Request) {
	if !ho.refused || rq.Header.Get("Expect") != "" {
		return
	}
	rc := http.NewResponseController(wr)
	// A connection that fails here has ended.
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(lingerTime))
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		time.Sleep(resetDelay)
	}
}
