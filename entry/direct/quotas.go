package direct

import (
	"context"
	"expvar"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/quota"
	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// returnsPeriod is how often the units of leases whose time is over are returned. Units that nobody returns are
	// lost to callers at other nodes.
	returnsPeriod = 250 * time.Millisecond
	// countedNamesMax is the number of organisations with counters of their own.
	countedNamesMax = 64
	// countedOther is the name under which the others are counted.
	countedOther = "other"
)

var (
	metricQuotaAdmitted = newCounterMap("quota_admitted_units")
	metricQuotaRefused  = newCounterMap("quota_refused_units")
)

// quotaCharge is what an organisation was charged for a request; ran is true once it may have run.
type quotaCharge struct {
	organisation string
	charge       quota.Charge
	ran          bool
}

// quotas holds what the node knows of the quotas of organisations.
type quotas struct {
	no      *Node
	queries atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	parts map[string]*quotaPart
	// names holds the organisations with counters of their own.
	names map[string]bool
	// announcements holds the accounts that this node has announced.
	announcements announcements
}

// quotaPart is this node's part in the quota of one organisation.
type quotaPart struct {
	holder quota.Holder
	// answered is closed when the query that is under way has ended.
	answered chan struct{}
	// keeper is the host of the keeper among the hosts with the number hostsNumber.
	keeper      string
	hostsNumber int64
}

// newQuotas returns quotas that nothing is known of.
func newQuotas(no *Node) *quotas {
	return &quotas{no: no, parts: map[string]*quotaPart{}, names: map[string]bool{}}
}

// quotaUnits returns the number of units that the request counts as.
func (rq *request) quotaUnits() int64 {
	if !rq.organisation.Quota.Tokens {
		return 1
	}
	tokens := min(rq.info.PromptTokens, math.MaxInt32) + min(rq.info.OutputTokens, math.MaxInt32)
	if tokens <= 0 {
		tokens = rq.organisation.Quota.PlainTokens
	}
	return int64(max(1, tokens))
}

// takeQuota charges the request to the quota of its organisation, or returns an error if there is no room.
func (rq *request) takeQuota(ctx context.Context) error {
	or := rq.organisation
	if or == nil || or.Quota.PerSecond <= 0 {
		return nil
	}
	qs := rq.no.quotas
	units := rq.quotaUnits()
	for ctx.Err() == nil {
		de, wait := qs.take(rq, units)
		switch de.Step {
		case quota.Admit:
			rq.charge.organisation, rq.charge.charge = or.Name, de.Charge
			return nil
		case quota.Refuse:
			return rq.quotaError(units, &de)
		case quota.Ask:
			qs.ask(ctx, or.Name, de.Query)
		case quota.Await:
			select {
			case <-wait:
			case <-ctx.Done():
			}
		}
	}
	return fault.New(fault.Unavailable, "the caller's time ended before its quota was known", "send it again")
}

// take decides on a request. The channel is closed when the query that it must wait for has ended.
func (qs *quotas) take(rq *request, units int64) (quota.Decision, chan struct{}) {
	or, no := rq.organisation, qs.no
	entries := no.agents.entryCount()
	now := time.Now()
	qs.mu.Lock()
	defer qs.mu.Unlock()
	pa := qs.part(or.Name)
	ac := no.agents.quotaKeeper(or.Name, pa)
	qr := quota.Request{
		Units: units, Limit: quota.Limit{Version: rq.routesVersion, PerSecond: or.Quota.PerSecond, Burst: or.Quota.Burst},
		Entries: entries, Random: no.options.Random(),
	}
	if ac != nil {
		qr.Keeper = ac.boot
	}
	de := pa.holder.Take(qr, now)
	switch de.Step {
	case quota.Ask:
		pa.answered = make(chan struct{})
	case quota.Admit:
		qs.count(metricQuotaAdmitted, or.Name, units)
	case quota.Refuse:
		qs.count(metricQuotaRefused, or.Name, units)
	case quota.Await:
	}
	return de, pa.answered
}

// count adds units to the counter of an organisation. The caller must hold qs.mu.
func (qs *quotas) count(counters *expvar.Map, name string, units int64) {
	if !qs.names[name] {
		if len(qs.names) >= countedNamesMax {
			name = countedOther
		} else {
			qs.names[name] = true
		}
	}
	counters.Add(name, units)
}

// quotaError logs that the request is refused, and returns the error.
func (rq *request) quotaError(units int64, de *quota.Decision) error {
	or := rq.organisation
	rq.no.logger.Info().Str("request", rq.info.ID).Str("organisation", or.Name).Int64("version", rq.routesVersion).Int64("units", units).
		Float64("limit", or.Quota.PerSecond).Float64("burst", or.Quota.Burst).Stringer("source", de.Source).Dur("age", de.Age).Dur("wait", de.Wait).Msg("quota_refused")
	return fault.New(fault.RateLimited, "the organisation has used up its quota", "send it again after the time in Retry-After").WithRetryAfter(de.Wait)
}

// ask sends a query to the keeper and records the answer.
func (qs *quotas) ask(ctx context.Context, organisation string, qu quota.Query) {
	qs.mu.Lock()
	pa := qs.parts[organisation]
	ac := qs.no.agents.quotaKeeper(organisation, pa)
	qs.mu.Unlock()
	an, answered := quota.Answer{}, false
	// Another run of a keeper must not get what the query returns.
	if ac != nil && ac.boot == qu.Keeper {
		an, answered = qs.no.agents.askQuota(ctx, ac, qs.frame(organisation, qu))
	}
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if answered {
		pa.holder.Answered(qu, an, time.Now())
	} else {
		pa.holder.Unanswered(time.Now())
	}
	close(pa.answered)
}

// frame returns the frame of a query.
func (qs *quotas) frame(organisation string, qu quota.Query) *wire.QuotaQuery {
	boot := qs.no.boot
	return &wire.QuotaQuery{
		Query:        "q" + strconv.FormatInt(qs.queries.Add(1), 36) + "-" + boot[len(boot)-4:],
		Organisation: organisation, Version: qu.Limit.Version, PerSecond: qu.Limit.PerSecond, Burst: qu.Limit.Burst,
		Amount: qu.Amount, Needed: qu.Needed, Returned: qu.Returned,
	}
}

// makeChargedAttempt makes an attempt and records whether the request may have run, also if the answer breaks off with a
// panic.
func (rq *request) makeChargedAttempt(ctx context.Context, at *attempt) (result, bool) {
	ranBefore := rq.charge.ran
	rq.charge.ran = true
	re, delivered := rq.makeAttempt(ctx, at)
	if !delivered && (re.outcome == retry.Unsent || re.outcome == retry.NotRun) {
		rq.charge.ran = ranBefore
	}
	return re, delivered
}

// returnQuota gives back what the request was charged if no server has run it.
func (rq *request) returnQuota() {
	if rq.charge.charge.Units == 0 || rq.charge.ran {
		return
	}
	qs := rq.no.quotas
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if pa := qs.parts[rq.charge.organisation]; pa != nil {
		pa.holder.GiveBack(rq.charge.charge, time.Now())
	}
}

// run returns what is left of leases until the context ends, and forgets organisations that no caller belongs to any
// more.
func (qs *quotas) run(ctx context.Context) {
	tick := time.NewTicker(returnsPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			qs.maintain(time.Now())
		}
	}
}

// maintain announces accounts, returns what is left of leases whose time is over, and removes the parts that are no longer
// used.
func (qs *quotas) maintain(now time.Time) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.announce(now)
	for name, pa := range qs.parts {
		if qu, keeper, ok := pa.holder.TakeReturns(now); ok {
			if ac := qs.no.agents.quotaKeeper(name, pa); ac != nil && ac.boot == keeper {
				ac.co.TrySend(&wire.Frame{QuotaQuery: qs.frame(name, qu)})
			}
		}
		if pa.holder.Idle(now) {
			delete(qs.parts, name)
		}
	}
}
