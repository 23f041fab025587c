package direct

import (
	"context"
	"slices"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// originsPerFrame bounds the records of streams in one frame.
	originsPerFrame = 1024
	// linkTime is how long after its start a node waits for connections to agents before it asks them, linkWait how
	// long a request waits for that.
	linkTime = 3 * time.Second
	linkWait = 500 * time.Millisecond
)

// shareOrigins sends the records of streams to the agents that are their homes.
func (as *agents) shareOrigins(streams []wire.StreamOrigin) {
	as.mu.Lock()
	hosts := as.homeHosts()
	as.mu.Unlock()
	byHost := map[string][]wire.StreamOrigin{}
	for _, so := range streams {
		for _, host := range origin.Homes(origin.StreamKey(so.Stream), hosts, origin.RecordHomes) {
			byHost[host] = append(byHost[host], so)
		}
	}
	for host, list := range byHost {
		as.sendOrigins(host, list)
	}
}

// restoreOrigins sends an agent that has connected the records of the streams of which it is a home. It may
// have started anew.
func (as *agents) restoreOrigins(host string, streams []wire.StreamOrigin) {
	as.mu.Lock()
	hosts := as.homeHosts()
	as.mu.Unlock()
	list := []wire.StreamOrigin(nil)
	for _, so := range streams {
		for _, home := range origin.Homes(origin.StreamKey(so.Stream), hosts, origin.RecordHomes) {
			if home == host {
				list = append(list, so)
			}
		}
	}
	as.sendOrigins(host, list)
}

// moveOrigins gives the records of which an agent that is gone was a home to the agents that take its place.
func (as *agents) moveOrigins(gone string, streams []wire.StreamOrigin) {
	as.mu.Lock()
	hosts := as.homeHosts()
	as.mu.Unlock()
	before := append(slices.Clone(hosts), gone)
	byHost := map[string][]wire.StreamOrigin{}
	for _, so := range streams {
		// Without the host that is gone, the next one after the homes is the last of them.
		homes := origin.Homes(origin.StreamKey(so.Stream), before, origin.RecordHomes+1)
		if len(homes) > origin.RecordHomes && slices.Contains(homes[:origin.RecordHomes], gone) {
			next := homes[origin.RecordHomes]
			byHost[next] = append(byHost[next], so)
		}
	}
	for host, list := range byHost {
		as.sendOrigins(host, list)
	}
}

// sendOrigins sends records of streams to the agent on a host.
func (as *agents) sendOrigins(host string, list []wire.StreamOrigin) {
	as.mu.Lock()
	ac := as.links[host]
	as.mu.Unlock()
	for len(list) > 0 && ac != nil {
		count := min(originsPerFrame, len(list))
		if !ac.co.TrySend(&wire.Frame{Origins: &wire.Origins{Streams: list[:count]}}) {
			as.no.logger.Warn().Str("agent", host).Int("streams", len(list)).Msg("origins_not_sent")
			return
		}
		list = list[count:]
	}
}

// homeHosts returns the hosts of the agents that can be homes. The lock must be held.
func (as *agents) homeHosts() []string {
	hosts := make([]string, 0, len(as.links))
	for host, ac := range as.links {
		if ac.keepsOrigins && !ac.silent {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// originReply is what the homes of a stream know of it.
type originReply struct {
	origin origin.Origin
	known  bool
	// complete is true if as many homes as should be asked have answered.
	complete bool
	// versions holds the software versions of the service that is to go on with the stream, as each home tells them.
	versions []wire.ServiceVersions
}

// queryOrigin asks the homes of a stream what began it, and otherwise for the software versions of a service.
func (as *agents) queryOrigin(ctx context.Context, query string, key origin.StreamKey, service string) originReply {
	gw := &grantWaiter{frames: make(chan *wire.Frame, grantFramesBuffer)}
	as.mu.Lock()
	links := make([]*agentConn, 0, origin.QueryHomes)
	for _, host := range origin.Homes(key, as.homeHosts(), origin.QueryHomes) {
		links = append(links, as.links[host])
	}
	as.waiting[query] = gw
	as.mu.Unlock()
	defer func() {
		as.mu.Lock()
		defer as.mu.Unlock()
		delete(as.waiting, query)
	}()
	asked := 0
	for _, ac := range links {
		if ac.co.TrySend(&wire.Frame{OriginQuery: &wire.OriginQuery{Attempt: query, Stream: uint64(key), Service: service}}) {
			asked++
		}
	}
	re := awaitOrigin(ctx, gw.frames, asked)
	re.complete = len(re.versions) > 0 && len(re.versions) == len(links)
	return re
}

// awaitOrigin waits until an agent knows what began a stream, or all that were asked have answered.
func awaitOrigin(ctx context.Context, frames chan *wire.Frame, asked int) originReply {
	timer := time.NewTimer(agentAnswerTimeout)
	defer timer.Stop()
	or := originReply{}
	for answered := 0; answered < asked; {
		select {
		case <-ctx.Done():
			return or
		case <-timer.C:
			return or
		case fr := <-frames:
			oa := fr.OriginAnswer
			if oa == nil {
				continue
			}
			if oa.Known {
				or.origin, or.known = origin.Origin{Service: oa.Service, Software: oa.Software}, true
				return or
			}
			if oa.Versions != nil {
				or.versions = append(or.versions, *oa.Versions)
			}
			answered++
		}
	}
	return or
}

// awaitLinks waits until a node that has just started is connected to the agents of all servers that it knows, or
// for linkWait. Before that, it would ask others than the homes of a stream.
func (as *agents) awaitLinks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, linkWait)
	defer cancel()
	for ctx.Err() == nil && time.Since(as.no.origins.startedAt) < linkTime && !as.linked() {
		as.no.sleep(ctx, dialPeriod)
	}
}

// mostLinked reports whether the node is connected to more than half of the agents of the servers that it knows.
func (as *agents) mostLinked() bool {
	as.mu.Lock()
	defer as.mu.Unlock()
	count := 0
	for host := range as.servers {
		if as.working(host) != nil {
			count++
		}
	}
	return 2*count > len(as.servers)
}

// linked reports whether the node is connected to the agents of all servers that it knows.
func (as *agents) linked() bool {
	as.mu.Lock()
	defer as.mu.Unlock()
	for host := range as.servers {
		if as.links[host] == nil {
			return false
		}
	}
	return true
}
