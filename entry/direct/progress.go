package direct

import (
	"sync"
	"time"

	"github.com/bambooladder/bambooladder/core/spread"
)

const (
	// stallShare is the part of the time for which callers wait after which another server is asked for what follows.
	stallShare = 0.75
	// stallGaps is how many times the longest gap of a stream so far another one may take.
	stallGaps = 4
)

// progress tells whether a stream still goes on. What keeps a connection open alone, such as comments or parts of an event, is no
// progress. The zero value is that of a stream without an event.
type progress struct {
	mu sync.Mutex
	// lastAt is when the last event with data came from the present server, zero before its first one; longest is the
	// longest time between two of them at any server.
	lastAt  time.Time
	longest time.Duration
	// writing is true while an event is written to the caller.
	writing bool
}

// restart tells that the stream begins or goes on at another server.
func (pr *progress) restart() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lastAt, pr.writing = time.Time{}, false
}

// beginWrite records an event that is about to be written to the caller.
func (pr *progress) beginWrite(withData bool, now time.Time) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.writing = true
	if !withData {
		return
	}
	if !pr.lastAt.IsZero() {
		pr.longest = max(pr.longest, now.Sub(pr.lastAt))
	}
	pr.lastAt = now
}

// endWrite records that the event has been written. The time that the caller took is not the server's.
func (pr *progress) endWrite(took time.Duration) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.writing = false
	if !pr.lastAt.IsZero() {
		pr.lastAt = pr.lastAt.Add(took)
	}
}

// stalled reports whether a stream that has begun brings nothing any more. Callers that accept pauses of any length are
// not told.
func (pr *progress) stalled(gl spread.Goals, now time.Time) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if gl.PauseMax <= 0 || pr.writing || pr.lastAt.IsZero() {
		return false
	}
	return now.Sub(pr.lastAt) > max(time.Duration(stallShare*float64(gl.CallerWait())), stallGaps*pr.longest)
}
