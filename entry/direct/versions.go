package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
)

// tellPeriodically tells agents the software versions of services again and again, until the context ends.
func (as *agents) tellPeriodically(ctx context.Context) {
	tick := time.NewTicker(origin.TellPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			as.tellVersions()
		}
	}
}

// tellVersions tells all connected agents the software versions of services. They keep them for entry nodes that
// start later.
func (as *agents) tellVersions() {
	as.mu.Lock()
	links := make([]*agentConn, 0, len(as.links))
	for _, ac := range as.links {
		links = append(links, ac)
	}
	as.mu.Unlock()
	for _, ac := range links {
		as.no.origins.tellVersions(ac)
	}
}

// tellVersions tells an agent the software versions of services.
func (ors *origins) tellVersions(ac *agentConn) {
	if !ac.keepsVersions {
		return
	}
	if !ac.co.TrySend(ors.versionsFrame(time.Now())) {
		ors.no.logger.Warn().Str("agent_boot", ac.boot).Msg("versions_not_sent")
	}
}
