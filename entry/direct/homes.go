package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/wire"
)

// originsPerFrame bounds the records of streams in one frame.
const originsPerFrame = 1024

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

// queryOrigin asks the homes of a stream what began it. It returns false if none of them knows, or none has
// answered in time.
func (as *agents) queryOrigin(ctx context.Context, query string, key origin.StreamKey) (origin.Origin, bool) {
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
		if ac.co.TrySend(&wire.Frame{OriginQuery: &wire.OriginQuery{Attempt: query, Stream: uint64(key)}}) {
			asked++
		}
	}
	return awaitOrigin(ctx, gw.frames, asked)
}

// awaitOrigin waits until an agent knows what began a stream, or all that were asked have answered.
func awaitOrigin(ctx context.Context, frames chan *wire.Frame, asked int) (origin.Origin, bool) {
	timer := time.NewTimer(agentAnswerTimeout)
	defer timer.Stop()
	for answered := 0; answered < asked; {
		select {
		case <-ctx.Done():
			return origin.Origin{}, false
		case <-timer.C:
			return origin.Origin{}, false
		case fr := <-frames:
			oa := fr.OriginAnswer
			if oa == nil {
				continue
			}
			if oa.Known {
				return origin.Origin{Service: oa.Service, Software: oa.Software}, true
			}
			answered++
		}
	}
	return origin.Origin{}, false
}
