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

// turn is the best matching request of an organisation.
type turn struct {
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
	turns := en.turns[:0]
	for ix := range en.queue {
		rq := &en.queue[ix]
		if !match(rq) {
			continue
		}
		candidate := turn{share: rq.share, index: ix, priority: rq.priority(now), late: en.yields(rq, now), urgency: rq.Urgency}
		turns = addTurn(turns, &candidate)
	}
	en.turns = turns
	best := -1
	for ix := range turns {
		if best < 0 || turns[ix].before(&turns[best], now) {
			best = ix
		}
	}
	if best < 0 {
		return -1
	}
	return turns[best].index
}

// addTurn returns the turns with a request considered.
func addTurn(turns []turn, candidate *turn) []turn {
	for ix := range turns {
		tu := &turns[ix]
		if tu.share != candidate.share {
			continue
		}
		urgency := max(tu.urgency, candidate.urgency)
		if candidate.beforeOwn(tu) {
			*tu = *candidate
		}
		tu.urgency = urgency
		return turns
	}
	return append(turns, *candidate)
}

// beforeOwn reports whether a request goes before an earlier one of the same organisation. Within one level of
// priority, requests that can still meet their goal go first.
func (tu *turn) beforeOwn(other *turn) bool {
	if tu.late != other.late && math.Floor(tu.priority) == math.Floor(other.priority) {
		return other.late
	}
	return tu.priority > other.priority
}

// before reports whether an organisation is served before another one: the one that has had too little for too
// long, then the one with the more urgent request, then the one that has used less.
func (tu *turn) before(other *turn, now time.Time) bool {
	overdue, otherOverdue := tu.share.overdue(now), other.share.overdue(now)
	switch {
	case overdue != otherOverdue:
		return overdue
	case overdue && tu.share.guaranteed != other.share.guaranteed:
		return tu.share.guaranteed < other.share.guaranteed
	case tu.urgency != other.urgency:
		return tu.urgency > other.urgency
	case tu.share.used != other.share.used:
		return tu.share.used < other.share.used
	case tu.priority != other.priority:
		return tu.priority > other.priority
	}
	return tu.index < other.index
}

// yields reports whether a request lets those of its organisation go first that can still meet their goal. Shortly before
// its deadline it no longer does, if it is the turn of such a request.
func (en *Engine) yields(rq *Request, now time.Time) bool {
	return en.late(rq, now) && (rq.share.turnsOwed > 0 || rq.Deadline.Sub(now) > rescueTime)
}

// late reports whether a request cannot meet its goal, as far as is known.
func (en *Engine) late(rq *Request, now time.Time) bool {
	return rq.expectedLate || en.goalMissed(rq, now)
}

// turnTaken counts a grant to one of the organisation's requests, which was late or not.
func (sh *share) turnTaken(late bool) {
	sh.turnsOwed = max(0, sh.turnsOwed-1)
	if late {
		sh.turnsOwed = lateTurns - 1
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
