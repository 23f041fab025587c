package spread

import "time"

const (
	// patienceMax is the expected wait above which a request is refused: callers give up
	// a stream that brings no first event for about this long.
	patienceMax = 3500 * time.Millisecond
	// comeBackMin is the least time after which a refused caller may come back.
	comeBackMin = 400 * time.Millisecond
)

// Patience returns how long a request may wait for its first byte, of the time that is left.
func Patience(left time.Duration) time.Duration { return min(patienceMax, left) }

// Admit tells whether the chosen server can answer while the caller waits, and when to
// come back otherwise. It answers bursts above what the engines read: a request that
// would wait in vain is refused at once, and told when the queue will have drained to
// what it can wait for.
func (ch *Choice) Admit(left time.Duration) (comeBack time.Duration, ok bool) {
	patience := Patience(left)
	if ch.Wait <= patience {
		return 0, true
	}
	return ch.Wait - patience + comeBackMin, false
}
