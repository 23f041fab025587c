package grant

import (
	"math"
	"slices"
	"time"
)

const (
	// rescueTime is how long before its deadline a request that cannot meet its goal stops yielding to those that can: as
	// long as an engine of usual speed may need for the prompts before it.
	rescueTime = time.Second
	// lateTurns is the number of an organisation's grants of which one may go to such a request.
	lateTurns = 4
)

// candidate is the best matching request of an organisation.
type candidate struct {
	share *share
	// index is the request's place in the queue.
	index    int
	priority float64
	late     bool
	// urgency is that of the organisation's most urgent matching request.
	urgency int
}

// bestWaiting returns the index of the matching queued request that is served next, or -1. Within an organisation,
// and so among the requests without one, it is the one with the highest priority: its urgency and the time that
// it has waited. Organisations are compared by what they have used, because by the time that their requests
// have waited the one with the longest queue would go before all others.
func (en *Engine) bestWaiting(now time.Time, match func(rq *Request) bool) int {
	candidates := en.candidates[:0]
	for ix := range en.queue {
		rq := &en.queue[ix]
		if !match(rq) {
			continue
		}
		ca := candidate{share: rq.share, index: ix, priority: rq.priority(now), late: en.yields(rq, now), urgency: rq.Urgency}
		candidates = addCandidate(candidates, &ca)
	}
	en.candidates = candidates
	best := -1
	for ix := range candidates {
		if best < 0 || candidates[ix].before(&candidates[best], now) {
			best = ix
		}
	}
	if best < 0 {
		return -1
	}
	return candidates[best].index
}

// addCandidate returns the candidates with a request considered.
func addCandidate(candidates []candidate, other *candidate) []candidate {
	for ix := range candidates {
		ca := &candidates[ix]
		if ca.share != other.share {
			continue
		}
		urgency := max(ca.urgency, other.urgency)
		if other.beforeOwn(ca) {
			*ca = *other
		}
		ca.urgency = urgency
		return candidates
	}
	return append(candidates, *other)
}

// beforeOwn reports whether a request goes before an earlier one of the same organisation. Within one level of
// priority, requests that can still meet their goal go first.
func (ca *candidate) beforeOwn(other *candidate) bool {
	if ca.late != other.late && math.Floor(ca.priority) == math.Floor(other.priority) {
		return other.late
	}
	return ca.priority > other.priority
}

// before reports whether an organisation is served before another one: the one that has had too little for too
// long, then the one with the more urgent request, then the one that has used less.
func (ca *candidate) before(other *candidate, now time.Time) bool {
	overdue, otherOverdue := ca.share.overdue(now), other.share.overdue(now)
	switch {
	case overdue != otherOverdue:
		return overdue
	case overdue && ca.share.guaranteed != other.share.guaranteed:
		return ca.share.guaranteed < other.share.guaranteed
	case ca.urgency != other.urgency:
		return ca.urgency > other.urgency
	case ca.share.used != other.share.used:
		return ca.share.used < other.share.used
	case ca.priority != other.priority:
		return ca.priority > other.priority
	}
	return ca.index < other.index
}

// yields reports whether a request lets those of its organisation go first that can still meet their goal. Shortly before
// its deadline it no longer does, if such a request may be granted next.
func (en *Engine) yields(rq *Request, now time.Time) bool {
	return en.late(rq, now) && (rq.share.onTimeGrantsOwed > 0 || rq.Deadline.Sub(now) > rescueTime)
}

// late reports whether a request cannot meet its goal, as far as is known.
func (en *Engine) late(rq *Request, now time.Time) bool {
	return rq.expectedLate || en.goalMissed(rq, now)
}

// countGrant counts a grant to one of the organisation's requests, which was late or not.
func (sh *share) countGrant(late bool) {
	sh.onTimeGrantsOwed = max(0, sh.onTimeGrantsOwed-1)
	if late {
		sh.onTimeGrantsOwed = lateTurns - 1
	}
}

// goalMissed reports whether a request could not meet its goal if it were granted now.
func (en *Engine) goalMissed(rq *Request, now time.Time) bool {
	if rq.Organisation == "" || rq.GoalAt.IsZero() {
		return false
	}
	startAt := later(en.pacer.prefillDoneAt, now)
	return startAt.Add(en.pacer.speed.prefillTime(rq.PromptTokens)).After(rq.GoalAt)
}

// tokens returns what a request takes of the engine: its prompt and its output.
func (rq *Request) tokens() int { return rq.PromptTokens + rq.OutputTokens }

// enqueue adds a request to the queue.
func (en *Engine) enqueue(rq *Request, now time.Time) {
	en.shares.requestQueued(rq.share, rq.tokens(), now)
	en.queue = append(en.queue, *rq)
}

// removeQueued removes the request at an index from the queue.
func (en *Engine) removeQueued(ix int, now time.Time) {
	rq := &en.queue[ix]
	en.shares.requestLeft(rq.share, rq.tokens(), now)
	en.queue = slices.Delete(en.queue, ix, ix+1)
}

// removeMatching removes the matching requests from the queue and returns them.
func (en *Engine) removeMatching(match func(rq *Request) bool, now time.Time) []Request {
	removed := make([]Request, 0)
	kept := en.queue[:0]
	for ix := range en.queue {
		rq := en.queue[ix]
		if !match(&rq) {
			kept = append(kept, rq)
			continue
		}
		en.shares.requestLeft(rq.share, rq.tokens(), now)
		removed = append(removed, rq)
	}
	clear(en.queue[len(kept):])
	en.queue = kept
	return removed
}
