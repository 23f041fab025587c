package quota

import "time"

const (
	// LeaseTime is how long granted units may be used.
	LeaseTime = 500 * time.Millisecond
	// ShareTime is how long a node uses its share after the keeper has not answered.
	ShareTime = 2 * time.Second
	// useTime is the time whose use a node asks for in addition to what a request needs.
	useTime = 250 * time.Millisecond
	// askAgainMin is the shortest time for which a refusal is remembered, unless the keeper tells a shorter one.
	askAgainMin = 50 * time.Millisecond
	// rememberMin is the shortest time for which a refusal is remembered whatever the keeper tells. The request that asked is
	// taken again a moment later, and must then be refused.
	rememberMin = 10 * time.Millisecond
	// spreadShare is the part of a wait by which callers are spread at most.
	spreadShare = 0.1
)

// Source says by what a request was admitted or refused.
type Source int

// Sources.
const (
	// FromLease means by units that the keeper had granted.
	FromLease Source = iota
	// FromKeeper means by the keeper's answer to a query for the request.
	FromKeeper
	// FromShare means by the node's share of the quota.
	FromShare
	// Remembered means by an earlier refusal of the keeper.
	Remembered
	// FromLimit means that the request alone needs more than the quota allows.
	FromLimit
)

var sourceNames = [...]string{"lease", "keeper", "share", "remembered", "limit"}

// String returns the name of the source as it appears in logs.
func (so Source) String() string { return sourceNames[so] }

// Step is what to do with a request.
type Step int

// Steps.
const (
	// Admit means that the request has been charged.
	Admit Step = iota
	// Refuse means that the request must be refused.
	Refuse
	// Ask means that the decision's query must be sent to the keeper; the result must be passed to Answered or
	// Unanswered, and the request taken to Take again.
	Ask
	// Await means that a query of another request is under way; the request must be taken to Take again after it.
	Await
)

// Charge is what a request was charged, to be given back if the request does not run. The zero value charges nothing.
type Charge struct {
	Units int64
	Share bool
	// Keeper identifies the run of the keeper that granted the units.
	Keeper string
}

// Decision is the answer to Take.
type Decision struct {
	Step   Step
	Source Source
	Charge Charge
	// Query is what to ask the keeper if Step is Ask.
	Query Query
	// Wait is the time after which the caller finds room if Step is Refuse.
	Wait time.Duration
	// Age is the age of the keeper's answer that the decision rests on, zero for none.
	Age time.Duration
}

// Request is what Take decides on.
type Request struct {
	Units int64
	Limit Limit
	// Keeper identifies the run of the keeper, empty if no keeper can be asked.
	Keeper string
	// Entries is the number of entry nodes that share the quota without a keeper.
	Entries int
	// Random is a number in [0, 1).
	Random float64
}

// Holder is what one entry node knows of an organisation's quota. The zero value is ready for use. It must not be used
// concurrently.
type Holder struct {
	limit Limit
	// lease is the number of granted units that are left, until when they may be used; keeper granted them and those
	// that are to be returned. usedUp is true if the last lease was used up in time.
	lease      int64
	leaseUntil time.Time
	keeper     string
	returns    int64
	usedUp     bool
	// used counts the units admitted since slotAt, usedBefore those of the time useTime before that.
	used, usedBefore int64
	slotAt           time.Time
	// asking is true while a query is under way; pending is the number of units that requests wait for meanwhile.
	asking  bool
	pending int64
	// answeredAt is when the keeper last answered; fresh is true until a request was decided by that answer.
	answeredAt time.Time
	fresh      bool
	// refusedUntil is the time up to which the keeper's last refusal holds, zero for none; callers are told times from
	// promisedAt on.
	refusedUntil, refusedAt time.Time
	promisedAt              time.Time
	// refused counts the units refused since the last query.
	refused int64
	// share holds the units of the node's own share, computed at filledAt; it last came into use at startedAt. It is
	// in use until shareUntil, unless another run than silent keeps the account before.
	share               float64
	filledAt, startedAt time.Time
	shareUntil          time.Time
	silent              string
	takenAt             time.Time
}

// Take decides on a request and charges it if it is admitted.
func (ho *Holder) Take(rq Request, now time.Time) Decision {
	ho.takenAt = now
	if rq.Limit.Version >= ho.limit.Version {
		ho.limit = rq.Limit
	}
	if ho.limit.PerSecond <= 0 {
		return Decision{Step: Admit}
	}
	if ho.limit.tooLarge(rq.Units) {
		return Decision{Step: Refuse, Source: FromLimit, Wait: spread(waitMax, rq.Random)}
	}
	ho.expire(now)
	if ho.lease >= rq.Units {
		return ho.admit(rq.Units, now)
	}
	switch {
	case !ho.asking && (rq.Keeper == "" || rq.Keeper == ho.silent && now.Before(ho.shareUntil)):
		return ho.takeShare(rq, now)
	case now.Before(ho.refusedUntil):
		ho.pending = max(0, ho.pending-rq.Units)
		source := Remembered
		if ho.fresh {
			source, ho.fresh = FromKeeper, false
		}
		return Decision{Step: Refuse, Source: source, Wait: ho.promise(rq, now), Age: now.Sub(ho.refusedAt)}
	case ho.asking:
		ho.pending += rq.Units
		return Decision{Step: Await}
	}
	return Decision{Step: Ask, Query: ho.query(rq, now)}
}

// admit charges a request to the lease.
func (ho *Holder) admit(units int64, now time.Time) Decision {
	ho.lease -= units
	ho.pending = max(0, ho.pending-units)
	ho.countUse(units, now)
	ho.usedUp = ho.lease <= 0
	source := FromLease
	if ho.fresh {
		source, ho.fresh = FromKeeper, false
	}
	return Decision{Step: Admit, Source: source, Charge: Charge{Units: units, Keeper: ho.keeper}, Age: now.Sub(ho.answeredAt)}
}

// query begins a query. What is left of the lease is returned with it. More than what the waiting requests need is
// asked for only if the last lease was used up in time, so that little is left unused at nodes whose callers leave.
func (ho *Holder) query(rq Request, now time.Time) Query {
	amount := max(rq.Units, ho.pending)
	if ho.usedUp || ho.lease > 0 {
		amount += ho.recentUse(now)
	}
	// As many units as were refused lately are likely to be refused until the next query. The keeper promises what is
	// asked for, so that callers at other nodes are told later times.
	if now.Sub(ho.refusedAt) < useTime+ho.askAgainTime(rq.Units) {
		amount += ho.refused
	}
	ho.refused = 0
	qu := Query{Limit: ho.limit, Amount: amount, Needed: rq.Units, Keeper: rq.Keeper}
	if rq.Keeper == ho.keeper {
		qu.Returned = ho.lease + ho.returns
	}
	ho.keeper = rq.Keeper
	ho.lease, ho.returns, ho.pending, ho.usedUp, ho.asking = 0, 0, 0, false, true
	return qu
}

// Answered records the keeper's answer to a query.
func (ho *Holder) Answered(qu Query, an Answer, now time.Time) {
	ho.asking, ho.fresh = false, true
	ho.answeredAt = now
	if an.Amount > 0 {
		ho.lease += an.Amount
		ho.leaseUntil = now.Add(LeaseTime)
		ho.refusedUntil = time.Time{}
		return
	}
	ho.refusedAt = now
	ho.refusedUntil = now.Add(max(rememberMin, min(an.Wait, ho.askAgainTime(qu.Needed))))
	if at := now.Add(an.Wait); at.After(ho.promisedAt) {
		ho.promisedAt = at
	}
}

// askAgainTime bounds the time for which a refusal is remembered: by then, what was needed has come in. The wait that callers
// are told is longer, since others were refused before them. But those may not come back, or to another node.
func (ho *Holder) askAgainTime(needed int64) time.Duration {
	return max(askAgainMin, ho.limit.timeOf(float64(needed)))
}

// Unanswered records that a query was not sent or not answered in time. What it returned is lost.
func (ho *Holder) Unanswered(now time.Time) {
	ho.asking, ho.pending = false, 0
	ho.shareUntil, ho.silent = now.Add(ShareTime), ho.keeper
}

// promise returns the time after which a refused caller finds room, spread over the callers.
func (ho *Holder) promise(rq Request, now time.Time) time.Duration {
	ho.refused += rq.Units
	at := ho.promisedAt
	if !at.After(now) {
		at = now.Add(ho.limit.timeOf(float64(rq.Units)))
	}
	ho.promisedAt = at.Add(ho.limit.promiseTime(rq.Units))
	if most := now.Add(waitMax); ho.promisedAt.After(most) {
		ho.promisedAt = most
	}
	return spread(at.Sub(now), rq.Random)
}

// spread returns a wait that is longer by a random part of it.
func spread(wait time.Duration, random float64) time.Duration {
	return max(time.Millisecond, wait+time.Duration(float64(wait)*spreadShare*random))
}

// expire ends a lease whose time is over; what is left of it is to be returned.
func (ho *Holder) expire(now time.Time) {
	if ho.lease > 0 && !now.Before(ho.leaseUntil) {
		ho.returns += ho.lease
		ho.lease, ho.usedUp = 0, false
	}
}

// GiveBack takes back what a request was charged that did not run.
func (ho *Holder) GiveBack(ch Charge, now time.Time) {
	ho.expire(now)
	switch {
	case ch.Share:
		ho.share += float64(ch.Units)
	case ch.Keeper != ho.keeper:
		// The keeper that granted the units keeps the account no more.
	case now.Before(ho.leaseUntil):
		ho.lease += ch.Units
	default:
		ho.returns += ch.Units
	}
}

// TakeReturns returns a query that gives back what is left of leases whose time is over, and the run of the keeper that
// granted it.
func (ho *Holder) TakeReturns(now time.Time) (Query, string, bool) {
	ho.expire(now)
	if ho.returns == 0 || ho.asking {
		return Query{}, "", false
	}
	qu := Query{Limit: ho.limit, Returned: ho.returns}
	ho.returns = 0
	return qu, ho.keeper, true
}

// Idle reports whether the holder can be forgotten: it has not been asked for a while and holds nothing to return.
func (ho *Holder) Idle(now time.Time) bool {
	return !ho.asking && ho.lease == 0 && ho.returns == 0 && now.Sub(ho.takenAt) > Window && now.After(ho.shareUntil)
}
