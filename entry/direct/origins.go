package direct

import (
	"context"
	"sync"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/wire"
)

// Where the origin of a stream was found, as logged.
const (
	originOwn     = "own"
	originAgent   = "agent"
	originUnknown = "unknown"
)

// origins keeps which software versions began streams, and finds it out for the streams that callers take up.
type origins struct {
	no *Node

	mu      sync.Mutex
	history origin.History
	// begun holds the streams whose first event, or whose first event after they were taken up, this node has
	// passed on.
	begun origin.Table
}

// recordServers records the software versions of all servers in the log. Once a second version of a service
// appears, the streams that began before it need records too.
func (ors *origins) recordServers(servers []roster.Server, now time.Time) {
	mixed := []string(nil)
	ors.mu.Lock()
	for ix := range servers {
		if ors.history.Listed(servers[ix].Service, servers[ix].Software, now) {
			mixed = append(mixed, servers[ix].Service)
		}
	}
	ors.mu.Unlock()
	for _, service := range mixed {
		streams := ors.streamsOf(service, now)
		ors.no.logger.Info().Str("service", service).Strs("versions", ors.versions(service, now)).Int("streams", len(streams)).Msg("software_versions_mixed")
		ors.no.agents.shareOrigins(streams)
	}
}

// versions returns the software versions with which a stream of a service may have begun.
func (ors *origins) versions(service string, now time.Time) []string {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return ors.history.Versions(service, now)
}

// streamsOf returns the streams of a service that this node has passed on.
func (ors *origins) streamsOf(service string, now time.Time) []wire.StreamOrigin {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	list := []wire.StreamOrigin(nil)
	ors.begun.Each(service, now, func(key origin.StreamKey, or origin.Origin, left time.Duration) {
		list = append(list, streamOrigin(key, or, left))
	})
	return list
}

// mixedStreams returns the streams of all services whose servers run several software versions.
func (ors *origins) mixedStreams(services map[string]paths.Service, now time.Time) []wire.StreamOrigin {
	list := []wire.StreamOrigin(nil)
	for service := range services {
		if ors.needsRecord(service, "", now) {
			list = append(list, ors.streamsOf(service, now)...)
		}
	}
	return list
}

// streamOrigin returns the record of a stream as it is sent to agents.
func streamOrigin(key origin.StreamKey, or origin.Origin, keep time.Duration) wire.StreamOrigin {
	return wire.StreamOrigin{Stream: uint64(key), Service: or.Service, Software: or.Software, Keep: keep.Milliseconds()}
}

// needsRecord reports whether other nodes cannot know by themselves that a stream of a service began with a
// software version.
func (ors *origins) needsRecord(service, software string, now time.Time) bool {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return ors.history.Mixed(service, now) || software == "" && ors.history.States(service, now)
}

// record records what began the stream of a request, before the caller gets the first event.
func (ors *origins) record(rq *request) {
	now := time.Now()
	keep := origin.Retention(rq.callerWaits())
	ors.mu.Lock()
	ors.begun.Put(rq.streamKey, rq.origin, now.Add(keep), now)
	ors.mu.Unlock()
	if ors.needsRecord(rq.origin.Service, rq.origin.Software, now) {
		ors.no.agents.shareOrigins([]wire.StreamOrigin{streamOrigin(rq.streamKey, rq.origin, keep)})
	}
}

// find returns what began a stream, and where that was found.
func (ors *origins) find(ctx context.Context, rq *request) (origin.Origin, string) {
	if rq.info.Resumes == "" {
		return origin.Origin{}, originUnknown
	}
	ors.mu.Lock()
	or, known := ors.begun.Get(rq.streamKey, time.Now())
	ors.mu.Unlock()
	if known {
		return or, originOwn
	}
	if or, known = ors.no.agents.queryOrigin(ctx, rq.attemptID(0), rq.streamKey); known {
		return or, originAgent
	}
	return origin.Origin{}, originUnknown
}
