package direct

import (
	"context"
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/paths"
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

// versions returns the software versions with which a stream may have begun that is taken up at a service: those of the
// services that the same routes lead to, or led to lately.
func (ors *origins) versions(service string, now time.Time) []string {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return ors.groupVersions(service, now)
}

// recordRun gives agents the records of the streams under way of a service once a server has started again at a software
// version that the lost log does not tell.
func (ors *origins) recordRun(server string, now time.Time) {
	ors.no.mu.Lock()
	service, again := ors.no.fleet.RestartedService(server)
	born := ors.no.fleet.RunStart(server)
	ors.no.mu.Unlock()
	if !again || !ors.logLost() || !ors.addRun(server, born) {
		return
	}
	for member := range ors.membersOf(map[string]bool{service: true}, now) {
		ors.no.agents.shareOrigins(ors.streamsOf(member, now))
	}
}

// addRun records a run of a server that has become known while the log was lost, and reports whether it is new.
func (ors *origins) addRun(server string, born int64) bool {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	if ors.startedRuns[server] == born {
		return false
	}
	if ors.startedRuns == nil {
		ors.startedRuns = map[string]int64{}
	}
	ors.startedRuns[server] = born
	return true
}

// startedAgain reports whether a server at which a stream may have begun that is taken up at a service has started again, at
// a software version that the node does not know.
func (ors *origins) startedAgain(service string, now time.Time) bool {
	ors.mu.Lock()
	services := ors.groups.Of(service, now)
	ors.mu.Unlock()
	ors.no.mu.Lock()
	defer ors.no.mu.Unlock()
	return ors.no.fleet.StartedAgain(services)
}

// statesVersions reports whether servers at which a stream may have begun that is taken up at a service state software versions.
func (ors *origins) statesVersions(service string, now time.Time) bool {
	return slices.ContainsFunc(ors.versions(service, now), func(software string) bool { return software != "" })
}

// groupVersions returns the versions of all services of a service's group, sorted. The caller must hold ors.mu.
func (ors *origins) groupVersions(service string, now time.Time) []string {
	members := ors.groups.Of(service, now)
	list := make([]string, 0, len(members))
	for _, member := range members {
		list = append(list, ors.history.Versions(member, now)...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// knownFor returns for how long all versions of a service's group are known. Other services than itself of which no server
// was ever seen do not count. The caller must hold ors.mu.
func (ors *origins) knownFor(service string, now time.Time) time.Duration {
	known := ors.history.KnownFor(service, now)
	for _, member := range ors.groups.Of(service, now) {
		if len(ors.history.Versions(member, now)) > 0 {
			known = min(known, ors.history.KnownFor(member, now))
		}
	}
	return known
}

// candidates returns the software versions that may have begun a stream that is taken up at a service, up to a time ago.
func (ors *origins) candidates(service string, horizon time.Duration, now time.Time) origin.Candidates {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return origin.Candidates{Versions: ors.groupVersions(service, now), Complete: ors.knownFor(service, now) >= horizon}
}

// ownCandidates returns the software versions of one service that may have begun a stream, up to a time ago.
func (ors *origins) ownCandidates(service string, horizon time.Duration, now time.Time) origin.Candidates {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return origin.Candidates{Versions: ors.history.Versions(service, now), Complete: ors.history.KnownFor(service, now) >= horizon}
}

// routesChanged records which services routes lead to, and gives agents the records of the streams under way that need
// them now.
func (ors *origins) routesChanged(earlier, ta *paths.Table, now time.Time) {
	moved := [][]string(nil)
	if earlier != nil {
		moved = ta.MovedServices(earlier)
	}
	current := ta.SharedServices()
	ors.mu.Lock()
	ors.groups = ors.groups.WithRoutes(current, moved, now)
	ors.mu.Unlock()
	joined := map[string]bool{}
	for _, set := range slices.Concat(current, moved) {
		for _, service := range set {
			joined[service] = true
		}
	}
	ors.shareMixed(joined, now)
}
