package grant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// guaranteedShare is the part of an equal share of the engine that an organisation gets regardless of its
	// rank. An organisation that has been behind it for agingStep goes first, so that it gets at least 0.6 of
	// an equal share over 10 s.
	guaranteedShare = 0.75
	// arrearsMax bounds the tokens by which an organisation can be behind its guaranteed share: one whose
	// adapter took long to load must not take the engine from all others afterwards. It is what an engine
	// of usual speed prefills in 2 s.
	arrearsMax = 34_000.0
	// adapterLoadTokens is what an adapter load counts in an organisation's use of the engine: the prompt
	// tokens that an engine of usual speed prefills in storeLoadTime.
	adapterLoadTokens = 4250
	// sharesMax is the number of organisations above which those that have been idle for shareIdleMax are
	// forgotten.
	sharesMax    = 64
	shareIdleMax = 10 * time.Second
)

// share is an organisation's share of the engine. Requests without an organisation have one in common.
type share struct {
	organisation string
	// waiting and granted count the organisation's requests; the tokens are those of their prompts and outputs.
	waiting, granted             int
	waitingTokens, grantedTokens int
	// used is the virtual counter of tokens: what the organisation was granted, raised to the lowest counter
	// of the waiting organisations each time it begins to wait.
	used float64
	// guaranteed is the value of shares.virtual up to which the organisation has had its guaranteed share, and
	// behindSince since when it has had less, the zero time if it has not.
	guaranteed  float64
	behindSince time.Time
	// onTimeGrantsOwed is the number of grants that go to requests which can meet their goal before one that cannot is
	// served shortly before its deadline.
	onTimeGrantsOwed int
	idleSince        time.Time
	// ready and urgency are set by countWork: the work of the requests that can be granted without an adapter load, and the
	// highest urgency among them.
	ready   work
	urgency int
}

// overdue reports whether an organisation has been behind its guaranteed share for too long.
func (sh *share) overdue(now time.Time) bool {
	return !sh.behindSince.IsZero() && now.Sub(sh.behindSince) >= agingStep
}

// untilOverdue returns the time until an organisation that is not served any more is overdue.
func (sh *share) untilOverdue(now time.Time) time.Duration {
	if sh.behindSince.IsZero() {
		return agingStep
	}
	return max(0, agingStep-now.Sub(sh.behindSince))
}

// shares holds the shares of all organisations that have used the engine lately. The zero value is ready to
// use.
type shares struct {
	byName map[string]*share
	// waiting holds the shares with waiting requests.
	waiting []*share
	// virtual grows with the tokens that are granted while several organisations wait, by what each of them
	// is guaranteed.
	virtual float64
	// lastUsed is the counter of the organisation that last ceased to wait.
	lastUsed float64
}

// of returns the share of an organisation.
func (ss *shares) of(organisation string, now time.Time) *share {
	if sh := ss.byName[organisation]; sh != nil {
		return sh
	}
	if ss.byName == nil {
		ss.byName = map[string]*share{}
	}
	if len(ss.byName) >= sharesMax {
		ss.removeIdle(now)
	}
	sh := &share{organisation: organisation, guaranteed: ss.virtual, idleSince: now}
	ss.byName[organisation] = sh
	return sh
}

// removeIdle forgets the organisations that have been idle for some time.
func (ss *shares) removeIdle(now time.Time) {
	for organisation, sh := range ss.byName {
		if sh.waiting == 0 && sh.granted == 0 && now.Sub(sh.idleSince) > shareIdleMax {
			delete(ss.byName, organisation)
		}
	}
}

// requestQueued adds a request to those that wait. An organisation that begins to wait gets no credit for the
// time in which it asked for nothing. A short time without waiting requests does not count as such: those of an
// organisation with little hope of a grant are refused at once and leave the queue empty now and then.
func (ss *shares) requestQueued(sh *share, tokens int, now time.Time) {
	if sh.waiting == 0 {
		sh.used = max(sh.used, ss.lowestUsed())
		if now.Sub(sh.idleSince) > agingStep {
			sh.guaranteed = max(sh.guaranteed, ss.virtual)
			sh.behindSince = time.Time{}
		}
		ss.waiting = append(ss.waiting, sh)
	}
	sh.waiting++
	sh.waitingTokens += tokens
}

// lowestUsed returns the counter at which an organisation begins to wait.
func (ss *shares) lowestUsed() float64 {
	if len(ss.waiting) == 0 {
		return ss.lastUsed
	}
	lowest := math.Inf(1)
	for _, sh := range ss.waiting {
		lowest = min(lowest, sh.used)
	}
	return lowest
}

// requestLeft removes a request from those that wait.
func (ss *shares) requestLeft(sh *share, tokens int, now time.Time) {
	sh.waiting--
	sh.waitingTokens -= tokens
	if sh.waiting > 0 {
		return
	}
	ss.waiting = slices.DeleteFunc(ss.waiting, func(other *share) bool { return other == sh })
	ss.lastUsed = sh.used
	sh.idleSince = now
}

// charge counts tokens as used by an organisation. It must be called while the organisation waits.
func (ss *shares) charge(sh *share, tokens int) {
	sh.used += float64(tokens)
	if len(ss.waiting) < 2 {
		return
	}
	// What an organisation uses beyond its guaranteed share is not held against it.
	sh.guaranteed = min(sh.guaranteed, ss.virtual) + float64(tokens)
	ss.virtual += guaranteedShare * float64(tokens) / float64(len(ss.waiting))
}

// update notes which of the waiting organisations have had less than their guaranteed share.
func (ss *shares) update(now time.Time) {
	for _, sh := range ss.waiting {
		sh.guaranteed = max(sh.guaranteed, ss.virtual-arrearsMax)
		switch {
		case sh.guaranteed >= ss.virtual:
			sh.behindSince = time.Time{}
		case sh.behindSince.IsZero():
			sh.behindSince = now
		}
	}
}

// grantAdded counts a request among the granted ones.
func (ss *shares) grantAdded(sh *share, tokens int) {
	sh.granted++
	sh.grantedTokens += tokens
}

// grantRemoved removes a request from the granted ones.
func (ss *shares) grantRemoved(sh *share, tokens int, now time.Time) {
	sh.granted--
	sh.grantedTokens -= tokens
	if sh.waiting == 0 && sh.granted == 0 {
		sh.idleSince = now
	}
}

// Use is what an organisation has at an engine. Organisation is empty for requests without one.
type Use struct {
	Organisation string
	// Queued is the number of its queued requests, QueuedTokens and GrantedTokens those of prompts and outputs.
	Queued        int
	QueuedTokens  int
	GrantedTokens int
}

// Uses returns what the organisations have at the engine, the largest first. It is empty if no request names one.
func (en *Engine) Uses() []Use {
	uses := make([]Use, 0, len(en.shares.byName))
	named := false
	for _, sh := range en.shares.byName {
		named = named || sh.organisation != ""
		if sh.waiting > 0 || sh.granted > 0 {
			uses = append(uses, Use{Organisation: sh.organisation, Queued: sh.waiting, QueuedTokens: sh.waitingTokens, GrantedTokens: sh.grantedTokens})
		}
	}
	if !named {
		return nil
	}
	slices.SortFunc(uses, func(aa, bb Use) int {
		return cmp.Or(cmp.Compare(bb.QueuedTokens+bb.GrantedTokens, aa.QueuedTokens+aa.GrantedTokens), cmp.Compare(aa.Organisation, bb.Organisation))
	})
	return uses
}
