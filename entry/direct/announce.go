package direct

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/quota"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// announcePeriod is how often a node checks whether accounts are to be announced.
	announcePeriod = time.Second
	// announcersWanted is the number of entry nodes that announce each account, on average. The queries of all nodes for
	// all organisations would be many; with none, the first request begins the account.
	announcersWanted = 4
	// announceAgainPeriod is how often accounts are announced again. It is shorter than the time after which a keeper
	// forgets an account that nobody asks for.
	announceAgainPeriod = 30 * time.Minute
)

// announcements makes the keepers begin accounts before requests need them: a new account holds half a second's worth at
// first, and callers who come together when it begins would be refused within their quota.
type announcements struct {
	checkedAt time.Time
	// version is that of the routes, entries the number of entry nodes for which organisations holds those that this node
	// announces.
	version       int64
	entries       int
	organisations []*paths.Organisation
	// told maps the organisations to the runs of the keepers that were told since toldFrom.
	told     map[string]string
	toldFrom time.Time
	// keepers maps the organisations to the hosts of their keepers among the hosts with the number hostsNumber.
	keepers     map[string]string
	hostsNumber int64
}

// choose sets the organisations that the node with a boot ID announces.
func (an *announcements) choose(ta *paths.Table, entries int, boot string) {
	if an.version == ta.Version && an.entries == entries {
		return
	}
	an.version, an.entries, an.organisations, an.told, an.keepers = ta.Version, entries, nil, map[string]string{}, map[string]string{}
	for ix := range ta.Organisations {
		or := &ta.Organisations[ix]
		if or.Quota.PerSecond > 0 && xxh3.HashString(boot+or.Name)%uint64(max(1, entries)) < announcersWanted {
			an.organisations = append(an.organisations, or)
		}
	}
}

// announce tells the keepers of the node's organisations to begin their accounts. The caller must hold qs.mu.
func (qs *quotas) announce(now time.Time) {
	an, no := &qs.announcements, qs.no
	ta := no.view.table.Load()
	if !ta.HasOrganisations() || now.Sub(an.checkedAt) < announcePeriod {
		return
	}
	an.checkedAt = now
	an.choose(ta, no.agents.entryCount(), no.boot)
	if now.Sub(an.toldFrom) > announceAgainPeriod {
		clear(an.told)
		an.toldFrom = now
	}
	for _, or := range an.organisations {
		ac := no.agents.announcedKeeper(or.Name, an)
		if ac == nil || an.told[or.Name] == ac.boot {
			continue
		}
		limit := quota.Limit{Version: ta.Version, PerSecond: or.Quota.PerSecond, Burst: or.Quota.Burst}
		if ac.co.TrySend(&wire.Frame{QuotaQuery: qs.frame(or.Name, quota.Query{Limit: limit})}) {
			an.told[or.Name] = ac.boot
		}
	}
}

// announcedKeeper returns the connection to the agent that keeps the account of an announced organisation, or nil if that one
// cannot be told. The caller must hold qs.mu; as.mu is taken after it.
func (as *agents) announcedKeeper(organisation string, an *announcements) *agentConn {
	as.mu.Lock()
	defer as.mu.Unlock()
	if an.hostsNumber != as.hostsNumber {
		clear(an.keepers)
		an.hostsNumber = as.hostsNumber
	}
	keeper, known := an.keepers[organisation]
	if !known {
		keeper = quota.Keeper(organisation, as.hosts)
		an.keepers[organisation] = keeper
	}
	return as.keeperAt(keeper)
}

// part returns this node's part in the quota of an organisation. The caller must hold qs.mu.
func (qs *quotas) part(organisation string) *quotaPart {
	pa := qs.parts[organisation]
	if pa == nil {
		pa = &quotaPart{}
		qs.parts[organisation] = pa
	}
	return pa
}
