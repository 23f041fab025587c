package quota

import "time"

// A new account fills at startPart of the rate for startSlowTime. In that time some entry nodes still use their shares,
// or ask the agent that kept the account before. With half of the rate, a full account of the agent before and an
// agreement on the new one after 2 s would exceed the bound.
const (
	startSlowTime = 2 * time.Second
	startPart     = 0.25
)

// idleMax is how long an account is kept without a query. It is long, since an organisation that comes back later can at
// first use less than its burst.
const idleMax = time.Hour

// Query is what an entry node asks the keeper for.
type Query struct {
	Limit Limit
	// Amount is the number of units that the node asks for, Needed the least with which it can admit a request.
	// A query with neither only returns units, or begins the account if it returns none.
	Amount, Needed int64
	// Returned is the number of units that the same keeper gave the node and that it has not used.
	Returned int64
	// Keeper identifies the run of the keeper that the query is meant for.
	Keeper string
}

// OnlyReturns reports whether the query does nothing but give units back.
func (qu Query) OnlyReturns() bool { return qu.Amount <= 0 && qu.Returned > 0 }

// Answer is the keeper's answer to a query.
type Answer struct {
	// Amount is the number of granted units, zero for none.
	Amount int64
	// Wait is the time until there is room for what was needed, also if all that were refused lately come back
	// when they were told to.
	Wait time.Duration
}

// Account is what the keeper knows of an organisation's use. The zero value has not begun.
type Account struct {
	limit Limit
	// level is the number of units that may be given out. It is negative after a request that needed more than there
	// were.
	level float64
	// begunAt is when the account began, filledAt when its level was last computed.
	begunAt, filledAt time.Time
	// promisedUntil is the time up to which what comes in has been promised to those that were refused.
	promisedUntil time.Time
}

// Begun reports whether the account has had a query with a limit.
func (ac Account) Begun() bool { return !ac.begunAt.IsZero() }

// Limit returns the limit that applies.
func (ac Account) Limit() Limit { return ac.limit }

// WithQuery returns the account after a query, and the answer. The argument withheld is the part of the quota, 0 to 1,
// that entry nodes may use as their shares because they are cut off from this keeper.
func (ac Account) WithQuery(qu Query, withheld float64, now time.Time) (Account, Answer) {
	if qu.Limit.PerSecond <= 0 {
		return ac, Answer{Amount: qu.Amount}
	}
	ac = ac.filled(withheld, now).withLimit(qu.Limit, now)
	ac.level = min(ac.limit.capacity(), ac.level+float64(max(0, qu.Returned)))
	if qu.Amount <= 0 {
		return ac, Answer{}
	}
	needed := qu.Needed
	if needed <= 0 || needed > qu.Amount {
		needed = qu.Amount
	}
	if ac.limit.tooLarge(needed) {
		return ac, Answer{Wait: waitMax}
	}
	// Whatever it needs, a request is admitted once there is a unit, and may leave the account in debt. If it had to wait
	// until all that it needs has come in, smaller ones would use that up first: at 7.5 times the limit, requests of
	// 300 to 1,000 tokens were admitted ten times as often as those above 2,000.
	if ac.level >= 1 {
		most := max(float64(needed)+extraShare*ac.limit.capacity(), ac.level/2)
		amount := max(needed, min(qu.Amount, int64(min(ac.level, most))))
		ac.level -= float64(amount)
		return ac, Answer{Amount: amount}
	}
	return ac.withPromise(qu.Amount, now)
}

// withPromise returns the account after a query was refused, and the answer with the time at which there is room. What the
// node asked for is promised to its callers.
func (ac Account) withPromise(amount int64, now time.Time) (Account, Answer) {
	at := now.Add(ac.limit.timeOf(1 - ac.level))
	if ac.promisedUntil.After(at) {
		at = ac.promisedUntil
	}
	ac.promisedUntil = at.Add(ac.limit.promiseTime(amount))
	if most := now.Add(waitMax); ac.promisedUntil.After(most) {
		ac.promisedUntil = most
	}
	return ac, Answer{Wait: max(time.Millisecond, at.Sub(now))}
}

// withLimit returns the account with a limit if that is of the same version or a newer one. A new account starts with
// the units of startTime.
func (ac Account) withLimit(li Limit, now time.Time) Account {
	if !ac.Begun() {
		ac.begunAt, ac.filledAt, ac.limit = now, now, li
		ac.level = min(li.unitsIn(startTime), li.capacity())
		return ac
	}
	if li.Version >= ac.limit.Version {
		ac.limit = li
	}
	return ac
}

// filled returns the account with what has come in since its level was last computed.
func (ac Account) filled(withheld float64, now time.Time) Account {
	if !ac.Begun() || !now.After(ac.filledAt) {
		return ac
	}
	units := ac.limit.unitsSlowed(ac.filledAt, now, ac.begunAt.Add(startSlowTime), startPart)
	ac.level = min(ac.limit.capacity(), ac.level+units*(1-min(1, max(0, withheld))))
	ac.filledAt = now
	return ac
}

// Forgettable reports whether nobody has asked for so long that the account need not be kept. By then it has filled up,
// so that a new one, which starts with less, gives out no more.
func (ac Account) Forgettable(now time.Time) bool {
	idle := now.Sub(ac.filledAt)
	return idle > idleMax && ac.level+ac.limit.unitsIn(idle) >= ac.limit.capacity()
}
