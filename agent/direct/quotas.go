package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/quota"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// accountsMax bounds the number of accounts that the agent keeps. It is far above the number of organisations that
	// one of several agents keeps, and bounds what wrong names can use up.
	accountsMax = 20_000
	// accountsCheckPeriod is how often accounts that nobody asks for are removed.
	accountsCheckPeriod = 10 * time.Second
	// cutOffTime is how long an entry node whose connection has fallen silent counts as cut off, unless it comes back.
	cutOffTime = 5 * time.Minute
	// cutOffShare is the part of all entry nodes that may be cut off before a part of the quotas is withheld. It is below
	// the tenth by which limits may be exceeded: a lost machine must not cost callers a part of their quota.
	cutOffShare = 0.05
)

// quotaAccounts holds the accounts of organisations. The zero value is empty.
type quotaAccounts struct {
	accounts  map[string]quota.Account
	checkedAt time.Time
	// cutOff holds when the connections of entry nodes fell silent, by the names of the nodes.
	cutOff map[string]time.Time
}

// sessionOpened records that an entry node has connected.
func (qa *quotaAccounts) sessionOpened(se *session) { delete(qa.cutOff, se.peer.Name) }

// sessionClosed records that the connection of an entry node has ended. If it has fallen silent, the node may still
// serve callers, by its share of each quota. A process that ends closes its connections.
func (qa *quotaAccounts) sessionClosed(se *session, now time.Time) {
	if !se.fellSilent {
		return
	}
	if qa.cutOff == nil {
		qa.cutOff = map[string]time.Time{}
	}
	qa.cutOff[se.peer.Name] = now
}

// withheld returns the part of the quotas that nodes which are cut off may use.
func (qa *quotaAccounts) withheld(connected int, now time.Time) float64 {
	for name, since := range qa.cutOff {
		if now.Sub(since) > cutOffTime {
			delete(qa.cutOff, name)
		}
	}
	if len(qa.cutOff) == 0 {
		return 0
	}
	return max(0, float64(len(qa.cutOff))/float64(connected+len(qa.cutOff))-cutOffShare)
}

// answerQuotaQuery answers an entry node that asks for a part of an organisation's quota. A query for no units gets no
// answer: it returns some, or begins the account before a request needs it.
func (br *Broker) answerQuotaQuery(ctx context.Context, se *session, qq *wire.QuotaQuery, now time.Time) {
	qu := quota.Query{
		Limit:  quota.Limit{Version: qq.Version, PerSecond: qq.PerSecond, Burst: qq.Burst},
		Amount: qq.Amount, Needed: qq.Needed, Returned: qq.Returned,
	}
	ac, known := br.accounts.find(qq.Organisation, now)
	if !known && (qu.OnlyReturns() || br.accounts.full()) {
		// Returned units did not come from an account that would begin now, so they are dropped. Without an answer, the
		// entry node uses its share.
		return
	}
	ac, an := ac.WithQuery(qu, br.accounts.withheld(len(br.sessions), now), now)
	if !ac.Begun() {
		// A query without a limit begins no account.
		return
	}
	br.accounts.accounts[qq.Organisation] = ac
	metricAccounts.Set(int64(len(br.accounts.accounts)))
	if !known {
		br.lg.Info().Str("organisation", qq.Organisation).Int64("version", qq.Version).Float64("limit", qq.PerSecond).
			Float64("burst", qq.Burst).Str("entry", se.name).Msg("quota_kept")
	}
	if qu.Amount <= 0 {
		return
	}
	br.lg.Debug().Str("query", qq.Query).Str("organisation", qq.Organisation).Int64("version", qq.Version).Int64("asked", qq.Amount).
		Int64("needed", qq.Needed).Int64("returned", qq.Returned).Int64("amount", an.Amount).Dur("wait", an.Wait).Msg("quota_answered")
	br.send(ctx, se.name, &wire.Frame{QuotaAnswer: &wire.QuotaAnswer{Query: qq.Query, Amount: an.Amount, Wait: waitMillis(an.Wait)}})
}

// waitMillis returns a wait in milliseconds, rounded up, so that no caller retries too early.
func waitMillis(wait time.Duration) int64 {
	return int64((wait + time.Millisecond - 1) / time.Millisecond)
}

// find returns the account of an organisation and whether it has begun.
func (qa *quotaAccounts) find(organisation string, now time.Time) (quota.Account, bool) {
	if qa.accounts == nil {
		qa.accounts = map[string]quota.Account{}
	}
	qa.removeIdle(now)
	ac, known := qa.accounts[organisation]
	return ac, known
}

// full reports whether there is no room for another account.
func (qa *quotaAccounts) full() bool { return len(qa.accounts) >= accountsMax }

// removeIdle forgets the accounts that have filled up while nobody asked.
func (qa *quotaAccounts) removeIdle(now time.Time) {
	if now.Sub(qa.checkedAt) < accountsCheckPeriod {
		return
	}
	qa.checkedAt = now
	for name, ac := range qa.accounts {
		if ac.Forgettable(now) {
			delete(qa.accounts, name)
		}
	}
}
