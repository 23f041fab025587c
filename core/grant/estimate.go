package grant

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// estimateMargin is the factor by which an estimated wait must exceed the time that is left before a request is
	// refused for it. Right after a queue has formed, the drain rate rests on a few grants.
	estimateMargin = 2
	// reviewInterval is the time between two estimates for the requests that wait.
	reviewInterval = 100 * time.Millisecond
	// drainHalfLife is the half-life of a grant's weight in the measured drain rate, which counts as known after
	// drainTimeMin of measuring.
	drainHalfLife = 2 * time.Second
	drainTimeMin  = 500 * time.Millisecond
	// drainTimeMax bounds the estimates for an engine that has granted nearly nothing for long.
	drainTimeMax = time.Hour
	// drainKept is how long a drain rate counts after the engine's memory was last full: a slow spell may be over.
	drainKept = 10 * time.Second
	// hashMultiplier is 2^32 divided by the golden ratio (Fibonacci hashing).
	hashMultiplier = 2654435769
	// retryAfterMax bounds the retry delays that follow from the backlog.
	retryAfterMax = 8 * time.Second
)

// drainMeter measures how many tokens an engine whose memory is full takes from the queue in a second. The zero value
// is ready to use.
type drainMeter struct {
	tokens, seconds float64
	measuredAt      time.Time
	// full is true if a request whose adapter was loaded waited for memory after the last round.
	full   bool
	fullAt time.Time
}

// advance counts the time since the last round.
func (dm *drainMeter) advance(now time.Time) {
	if dm.full {
		elapsed := now.Sub(dm.measuredAt)
		weight := math.Exp2(-float64(elapsed) / float64(drainHalfLife))
		dm.tokens *= weight
		dm.seconds = dm.seconds*weight + elapsed.Seconds()
		dm.fullAt = now
	} else if now.Sub(dm.fullAt) > drainKept {
		dm.tokens, dm.seconds = 0, 0
	}
	dm.measuredAt = now
}

// granted counts the tokens of a grant.
func (dm *drainMeter) granted(tokens int) {
	if dm.full {
		dm.tokens += float64(tokens)
	}
}

// timeFor returns the time in which the engine takes tokens from the queue, zero if that is not known.
func (dm *drainMeter) timeFor(tokens int) time.Duration {
	if dm.seconds < drainTimeMin.Seconds() || dm.tokens == 0 {
		return 0
	}
	seconds := min(float64(tokens)*dm.seconds/dm.tokens, drainTimeMax.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// work is what queued requests ask of an engine.
type work struct {
	// prompts holds the tokens of prompts, tokens those of prompts and outputs.
	prompts, tokens int
}

// plus returns the sum of two amounts of work.
func (wo work) plus(other work) work {
	return work{prompts: wo.prompts + other.prompts, tokens: wo.tokens + other.tokens}
}

// atMost returns the work reduced to a number of tokens.
func (wo work) atMost(tokens int) work {
	if wo.tokens <= tokens {
		return wo
	}
	return work{prompts: int(float64(wo.prompts) * float64(tokens) / float64(wo.tokens)), tokens: tokens}
}

// work returns what a request asks of the engine.
func (rq *Request) work() work { return work{prompts: rq.PromptTokens, tokens: rq.tokens()} }

// timeFor returns the time until the engine has taken work from the queue.
func (en *Engine) timeFor(wo work) time.Duration {
	return max(en.pacer.speed.prefillTime(wo.prompts), en.drain.timeFor(wo.tokens))
}

// prefillBacklog returns the time until the engine has prefilled the granted prompts.
func (en *Engine) prefillBacklog(now time.Time) time.Duration {
	return max(0, en.pacer.prefillDoneAt.Sub(now))
}

// countWork sums up for each organisation the work of its requests that can be granted without an adapter load, or
// that wait for the given adapter.
func (en *Engine) countWork(ke Key) {
	for _, sh := range en.shares.waiting {
		sh.ready, sh.urgency = work{}, math.MinInt
	}
	for ix := range en.queue {
		rq := &en.queue[ix]
		if !en.isReady(rq, ke) {
			continue
		}
		rq.share.ready = rq.share.ready.plus(rq.work())
		rq.share.urgency = max(rq.share.urgency, rq.Urgency)
	}
}

// waitBehind returns how long a request waits for its grant behind queued work of its own organisation and what other
// organisations are served before, after countWork. Those of the same urgency get as much as is needed for equal
// counters. More urgent ones go first, except before what the organisation is guaranteed.
func (en *Engine) waitBehind(rq *Request, own work, now time.Time) time.Duration {
	before := own
	for _, sh := range en.shares.waiting {
		switch {
		case sh == rq.share || sh.urgency < rq.Urgency:
		case sh.urgency > rq.Urgency:
			before = before.plus(sh.ready)
		default:
			// The last request that goes before leads beyond equal counters, by half of its tokens on average.
			if level := float64(own.tokens) + rq.share.used - sh.used; level >= 0 {
				before = before.plus(sh.ready.atMost(int(level) + rq.tokens()/2))
			}
		}
	}
	shared := float64(own.tokens*(len(en.shares.waiting)+1)) / guaranteedShare
	return min(en.timeFor(before), rq.share.untilOverdue(now)+en.timeFor(before.atMost(int(shared))))
}

// ownWork is the queued work of one organisation: that of requests that are expected to meet their goal, and that of
// others.
type ownWork struct {
	onTime, late work
}

// plus returns the work with a request added.
func (ow ownWork) plus(rq *Request) ownWork {
	if rq.expectedLate {
		ow.late = ow.late.plus(rq.work())
	} else {
		ow.onTime = ow.onTime.plus(rq.work())
	}
	return ow
}

// estimateWait returns how long a request waits for its grant behind work of its own organisation, and notes whether it
// is expected to meet its goal. Requests that are not get every lateTurns-th grant, so that they wait for lateTurns
// times the work of those before them.
func (en *Engine) estimateWait(rq *Request, own ownWork, now time.Time) time.Duration {
	wait := en.waitBehind(rq, own.onTime, now)
	rq.expectedLate = !rq.GoalAt.IsZero() && now.Add(wait+en.prefillBacklog(now)+en.pacer.speed.prefillTime(rq.PromptTokens)).After(rq.GoalAt)
	if !rq.expectedLate || own.late.tokens == 0 {
		return wait
	}
	late := work{prompts: lateTurns * own.late.prompts, tokens: lateTurns * own.late.tokens}
	return max(wait, en.waitBehind(rq, late, now))
}

// isReady reports whether a request can be granted without an adapter load other than that of the given adapter.
func (en *Engine) isReady(rq *Request, ke Key) bool {
	return rq.Key.Adapter == "" || rq.Key == ke || en.isLoaded(rq.Key)
}

// refusalOf returns why a new request is refused at once, or "" if it is not.
func (en *Engine) refusalOf(rq *Request, now time.Time) string {
	if !now.Before(rq.Deadline) {
		return ReasonDeadline
	}
	if rq.Organisation == "" {
		if rq.BacklogMax > 0 && en.backlogBefore(rq.Key, now) > rq.BacklogMax {
			return ReasonEngineBusy
		}
		return ""
	}
	wait := en.expectedWait(rq, now)
	switch {
	case rq.BacklogMax > 0 && en.prefillBacklog(now)+wait > rq.BacklogMax:
		return ReasonEngineBusy
	case unreachable(rq, wait, now) && en.waitReason(rq, now) != "":
		return ReasonDeadlineUnreachable
	}
	return ""
}

// expectedWait returns how long a new request of an organisation is expected to wait for its grant.
func (en *Engine) expectedWait(rq *Request, now time.Time) time.Duration {
	en.countWork(rq.Key)
	own := ownWork{}
	for ix := range en.queue {
		other := &en.queue[ix]
		if other.share == rq.share && en.isReady(other, rq.Key) && other.priority(now) >= rq.priority(now) {
			own = own.plus(other)
		}
	}
	return en.estimateWait(rq, own, now)
}

// unreachable reports whether a request is not expected to be granted by its deadline.
func unreachable(rq *Request, wait time.Duration, now time.Time) bool {
	return rq.Organisation != "" && !rq.GoalAt.IsZero() && float64(wait) > estimateMargin*float64(rq.Deadline.Sub(now))
}

// refuseUnreachable refuses the queued requests that are not expected to be granted by their deadline. Of each
// organisation, those that the refusals make room for stay.
func (en *Engine) refuseUnreachable(now time.Time) []Action {
	if now.Before(en.nextReviewAt) || !slices.ContainsFunc(en.shares.waiting, func(sh *share) bool { return sh.organisation != "" }) {
		return nil
	}
	en.nextReviewAt = now.Add(reviewInterval)
	en.countWork(Key{})
	order := make([]*Request, 0, len(en.queue))
	for ix := range en.queue {
		if en.queue[ix].Organisation != "" {
			order = append(order, &en.queue[ix])
		}
	}
	slices.SortStableFunc(order, func(aa, bb *Request) int { return cmp.Compare(bb.priority(now), aa.priority(now)) })
	refused := map[string]bool{}
	own := map[*share]ownWork{}
	for _, rq := range order {
		wait := en.estimateWait(rq, own[rq.share], now)
		switch {
		case unreachable(rq, wait, now):
			refused[rq.Attempt] = true
		case en.isReady(rq, Key{}):
			own[rq.share] = own[rq.share].plus(rq)
		}
	}
	if len(refused) == 0 {
		return nil
	}
	return en.refuseWaiting(func(rq *Request) bool { return refused[rq.Attempt] }, ReasonDeadlineUnreachable, now)
}

// drainTime returns the time in which the queue drains.
func (en *Engine) drainTime(now time.Time) time.Duration {
	waiting := work{}
	for ix := range en.queue {
		waiting = waiting.plus(en.queue[ix].work())
	}
	return min(retryAfterMax, max(defaultRetryAfter, en.prefillBacklog(now)+en.timeFor(waiting)))
}

// retryAfter returns when the caller of a refused request should send it again. With an organisation, that is between
// half and one and a half times the time in which the queue drains, so that callers who were refused in a burst
// do not return together.
func retryAfter(rq *Request, drainTime time.Duration) time.Duration {
	if rq.Organisation == "" {
		return defaultRetryAfter
	}
	return time.Duration((0.5 + attemptFraction(rq.Attempt)) * float64(drainTime))
}

// attemptFraction returns a number from zero to one that is spread evenly over attempts.
func attemptFraction(attempt string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(attempt))
	// The last characters of an attempt's ID change little of the high bits of its hash.
	mixed := hash.Sum32() * hashMultiplier
	return float64(mixed) / math.MaxUint32
}

// largerShare returns the share with most queued requests, or nil if none has more than that of a new request.
func (en *Engine) largerShare(rq *Request) *share {
	largest := rq.share
	for _, sh := range en.shares.waiting {
		if sh.waiting > largest.waiting {
			largest = sh
		}
	}
	if largest == rq.share {
		return nil
	}
	return largest
}

// displace refuses the queued request of an organisation that has the lowest priority.
func (en *Engine) displace(sh *share, now time.Time) []Action {
	last := -1
	for ix := range en.queue {
		if en.queue[ix].share == sh && (last < 0 || en.queue[ix].priority(now) <= en.queue[last].priority(now)) {
			last = ix
		}
	}
	displaced := en.queue[last]
	drainTime := en.drainTime(now)
	en.removeQueued(last, now)
	return []Action{refusal(&displaced, ReasonQueueFull, retryAfter(&displaced, drainTime), now)}
}
