package memory

import (
	"sync"
	"time"
)

const (
	// DefaultBytes is the budget of a node whose memory is not known.
	DefaultBytes = 64 << 20
	// smallBytes is the size up to which a body may use the part of the budget that is kept for small ones.
	smallBytes = 64 << 10
	// largeShare is the share of the budget that larger bodies may use.
	largeShare = 0.75
	// rateMin is how fast a body must arrive, in bytes a second, to keep its memory while others need it, and
	// startTime how long it may take until then.
	rateMin   = 256 << 10
	startTime = time.Second
	// firstHoldTime stands for the time for which bodies are held until some have ended.
	firstHoldTime = 500 * time.Millisecond
	// holdTimeWeight is the weight of the newest body in the mean time for which bodies are held.
	holdTimeWeight = 0.125
	// holdTimeMin bounds that time from below, as a refused caller needs some time to send again.
	holdTimeMin = 100 * time.Millisecond
	// retryAfterMin and retryAfterMax bound the wait that a refusal names.
	retryAfterMin = 200 * time.Millisecond
	retryAfterMax = 20 * time.Second
)

// Budget is the memory that a node may use for its callers. The zero value has DefaultBytes.
type Budget struct {
	mu sync.Mutex
	// bytesMax is the budget, zero for DefaultBytes; held and heldLarge are what is in use, in all and by large bodies.
	bytesMax, held, heldLarge int64
	// peak is the most that was ever in use.
	peak int64
	// reading holds the bodies that are about to arrive.
	reading map[*Hold]struct{}
	// sinceSum is the sum over the bytes of large bodies of the seconds from epoch until they were reserved.
	epoch    time.Time
	sinceSum float64
	// holdTime is the mean time for which large bodies were held, zero if none has ended.
	holdTime time.Duration
	// promisedUntil is until when memory that becomes free is promised to callers that were refused.
	promisedUntil time.Time
	// refused counts the refusals, displaced the bodies that arrived too slowly.
	refused, displaced int64
}

// Stats is the state of a budget.
type Stats struct {
	// Held, Peak and Max are the bytes in use, the most that ever were, and the budget.
	Held int64 `json:"held_bytes"`
	Peak int64 `json:"peak_bytes"`
	Max  int64 `json:"max_bytes"`
	// Refused counts the bodies that did not fit, Displaced those that arrived too slowly while others needed their memory.
	Refused   int64 `json:"refused"`
	Displaced int64 `json:"displaced"`
}

// SetBytes sets the size of the budget, zero for DefaultBytes. It must be called before the first use.
func (bu *Budget) SetBytes(count int64) { bu.bytesMax = count }

// Stats returns the state of the budget.
func (bu *Budget) Stats() Stats {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return Stats{Held: bu.held, Peak: bu.peak, Max: bu.max(), Refused: bu.refused, Displaced: bu.displaced}
}

// max returns the budget in bytes.
func (bu *Budget) max() int64 {
	if bu.bytesMax == 0 {
		return DefaultBytes
	}
	return bu.bytesMax
}

// largeMax returns what large bodies may use together, in bytes.
func (bu *Budget) largeMax() int64 { return int64(largeShare * float64(bu.max())) }

// Take counts bytes that the node holds, and reports whether they fit.
func (bu *Budget) Take(count int64) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.held+count > bu.max() {
		return false
	}
	bu.add(count)
	return true
}

// Count counts bytes that the node holds whether they fit or not, so that others are refused instead.
func (bu *Budget) Count(count int64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.add(count)
}

// Release subtracts bytes that are not held any more.
func (bu *Budget) Release(count int64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.held -= count
}

// add counts bytes. The lock must be held.
func (bu *Budget) add(count int64) {
	bu.held += count
	bu.peak = max(bu.peak, bu.held)
}

// reserve counts bytes for a body in place of those that it has, and reports whether they fit. If they do not, bodies
// that arrive too slowly give up theirs.
func (bu *Budget) reserve(ho *Hold, count int64, now time.Time) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if ho.displaced {
		return false
	}
	for !bu.fits(count) {
		slow := bu.slowest(ho, now)
		if slow == nil {
			return false
		}
		bu.displace(slow, now)
	}
	bu.enter(ho, count, now)
	return true
}

// fits reports whether a body of a size has room beside all that is held. The lock must be held.
func (bu *Budget) fits(count int64) bool {
	if bu.held+count > bu.max() {
		return false
	}
	return count <= smallBytes || bu.heldLarge+count <= bu.largeMax()
}

// enter counts the bytes of a body. The lock must be held.
func (bu *Budget) enter(ho *Hold, count int64, now time.Time) {
	bu.add(count)
	ho.taken += count
	if ho.since.IsZero() {
		ho.since = now
	}
	if count <= smallBytes {
		return
	}
	bu.heldLarge += count
	ho.large += count
	bu.sinceSum += float64(count) * bu.seconds(ho.since)
}

// seconds returns the seconds from the first use of the budget until a time. The lock must be held.
func (bu *Budget) seconds(at time.Time) float64 {
	if bu.epoch.IsZero() {
		bu.epoch = at
	}
	return at.Sub(bu.epoch).Seconds()
}

// slowest returns the largest other body that has arrived too slowly, nil for none. The lock must be held.
func (bu *Budget) slowest(except *Hold, now time.Time) *Hold {
	slowest := (*Hold)(nil)
	for ho := range bu.reading {
		if ho != except && ho.slow(now) && (slowest == nil || ho.taken > slowest.taken) {
			slowest = ho
		}
	}
	return slowest
}

// displace takes the memory from a body that is arriving and ends its reading. The lock must be held.
func (bu *Budget) displace(ho *Hold, now time.Time) {
	bu.displaced++
	ho.displaced = true
	delete(bu.reading, ho)
	bu.leave(ho, ho.taken, now)
	ho.cancel(errDisplaced)
}

// leave subtracts bytes of a body. The lock must be held.
func (bu *Budget) leave(ho *Hold, count int64, now time.Time) {
	bu.held -= count
	ho.taken -= count
	large := min(ho.large, count)
	if large == 0 {
		return
	}
	bu.heldLarge -= large
	ho.large -= large
	bu.sinceSum -= float64(large) * bu.seconds(ho.since)
	if ho.large == 0 {
		bu.recordHoldTime(now.Sub(ho.since))
	}
}

// recordHoldTime updates the mean time for which large bodies are held. The lock must be held.
func (bu *Budget) recordHoldTime(took time.Duration) {
	if bu.holdTime == 0 {
		bu.holdTime = firstHoldTime
	}
	bu.holdTime += time.Duration(holdTimeWeight * float64(took-bu.holdTime))
}

// retryAfter returns when a caller with a body that did not fit may send it again. Memory becomes free at the rate at which
// bodies are held; each refused caller is promised the next part of it, so that not all come again at once. The
// lock must be held.
func (bu *Budget) retryAfter(count int64, now time.Time) time.Duration {
	rate := float64(bu.largeMax()) / bu.expectedHoldTime(now).Seconds()
	if bu.promisedUntil.Before(now) {
		bu.promisedUntil = now
	}
	bu.promisedUntil = bu.promisedUntil.Add(time.Duration(float64(count) / rate * float64(time.Second)))
	if latest := now.Add(retryAfterMax); bu.promisedUntil.After(latest) {
		bu.promisedUntil = latest
	}
	return max(retryAfterMin, bu.promisedUntil.Sub(now))
}

// expectedHoldTime returns how long a large body will be held: as long as those before, but no less than those that are
// held have been, on the mean. The lock must be held.
func (bu *Budget) expectedHoldTime(now time.Time) time.Duration {
	expected := bu.holdTime
	if expected == 0 {
		expected = firstHoldTime
	}
	if bu.heldLarge > 0 {
		age := bu.seconds(now) - bu.sinceSum/float64(bu.heldLarge)
		expected = max(expected, time.Duration(age*float64(time.Second)))
	}
	return max(holdTimeMin, expected)
}
