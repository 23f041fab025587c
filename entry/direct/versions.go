package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/wire"
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
		as.no.origins.sendVersions(ac)
	}
}

// sendVersions tells an agent the software versions of services.
func (ors *origins) sendVersions(ac *agentConn) {
	if !ac.keepsVersions {
		return
	}
	if !ac.co.TrySend(ors.versionsFrame(time.Now())) {
		ors.no.logger.Warn().Str("agent_boot", ac.boot).Msg("versions_not_sent")
	}
}

// knownFrom returns the time from which on the node knows all software versions by itself.
func (ors *origins) knownFrom() time.Time {
	if ors.no.options.Settings.FirstStart {
		return time.Time{}
	}
	return ors.startedAt
}

// learnVersions records the software versions of services that an agent tells.
func (ors *origins) learnVersions(services []wire.ServiceVersions, now time.Time) {
	added := map[string]bool{}
	ors.mu.Lock()
	for ix := range services {
		sv := &services[ix]
		for _, seen := range sv.Seen {
			if ors.history.Seen(sv.Service, seen.Software, now.Add(-origin.Age(seen.Age)), now) {
				added[sv.Service] = true
			}
		}
		ors.history.Known(sv.Service, now.Add(-origin.Age(sv.Known)))
	}
	ors.mu.Unlock()
	ors.shareMixed(added, now)
}

// versionsFrame returns the frame that tells agents the software versions of all services.
func (ors *origins) versionsFrame(now time.Time) *wire.Frame {
	fr := &wire.Versions{}
	services := ors.no.view.services()
	ors.mu.Lock()
	defer ors.mu.Unlock()
	for service := range services {
		sv := wire.ServiceVersions{Service: service, Known: ors.history.KnownFor(service, now).Milliseconds()}
		for software, age := range ors.history.LastSeen(service, now) {
			sv.Seen = append(sv.Seen, wire.SeenVersion{Software: software, Age: age.Milliseconds()})
		}
		if len(sv.Seen) > 0 {
			fr.Services = append(fr.Services, sv)
		}
	}
	return &wire.Frame{Versions: fr}
}

// versions returns the software versions with which a stream of a service may have begun.
func (ors *origins) versions(service string, now time.Time) []string {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return ors.history.Versions(service, now)
}

// candidates returns the software versions of a service that may have begun a stream up to a time ago.
func (ors *origins) candidates(service string, horizon time.Duration, now time.Time) origin.Candidates {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return origin.Candidates{Versions: ors.history.Versions(service, now), Complete: ors.history.KnownFor(service, now) >= horizon}
}
