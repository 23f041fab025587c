package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/quota"
	"github.com/bambooladder/bambooladder/core/wire"
)

// setHosts makes the list of the hosts from which keepers are chosen. The caller must hold as.mu.
func (as *agents) setHosts() {
	same := len(as.hosts) == len(as.servers)
	for _, host := range as.hosts {
		if _, ok := as.servers[host]; !ok {
			same = false
		}
	}
	if same {
		return
	}
	hosts := make([]string, 0, len(as.servers))
	for host := range as.servers {
		hosts = append(hosts, host)
	}
	as.hosts = hosts
	as.hostsNumber++
}

// quotaKeeper returns the connection to the agent that keeps the account of an organisation, or nil if that one cannot
// be asked. The caller must hold qs.mu; as.mu is taken after it.
func (as *agents) quotaKeeper(organisation string, pa *quotaPart) *agentConn {
	as.mu.Lock()
	defer as.mu.Unlock()
	if pa.hostsNumber != as.hostsNumber {
		pa.keeper, pa.hostsNumber = quota.Keeper(organisation, as.hosts), as.hostsNumber
	}
	return as.keeperAt(pa.keeper)
}

// keeperAt returns the connection to the agent on a host, or nil if it does not respond or keeps no quotas. The caller must
// hold as.mu.
func (as *agents) keeperAt(host string) *agentConn {
	if ac := as.working(host); ac != nil && ac.keepsQuotas {
		return ac
	}
	return nil
}

// askQuota sends a query to an agent. It returns false if the agent has not answered in time. It waits also when the
// caller leaves: others may wait for the answer.
func (as *agents) askQuota(ctx context.Context, ac *agentConn, qq *wire.QuotaQuery) (quota.Answer, bool) {
	gw := &grantWaiter{frames: make(chan *wire.Frame, 1)}
	as.mu.Lock()
	as.waiting[qq.Query] = gw
	as.mu.Unlock()
	defer func() {
		as.mu.Lock()
		defer as.mu.Unlock()
		delete(as.waiting, qq.Query)
	}()
	if !ac.co.TrySend(&wire.Frame{QuotaQuery: qq}) {
		return quota.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), agentAnswerTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return quota.Answer{}, false
	case fr := <-gw.frames:
		an := fr.QuotaAnswer
		if an == nil {
			return quota.Answer{}, false
		}
		return quota.Answer{Amount: an.Amount, Wait: time.Duration(an.Wait) * time.Millisecond}, true
	}
}
