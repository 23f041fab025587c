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

// catchUpTime is how long a request that takes up a stream waits for a read of the servers' records.
const catchUpTime = 600 * time.Millisecond

// origins keeps which software versions began streams, and finds it out for the streams that callers take up.
type origins struct {
	no *Node

	// startedAt is when the node started.
	startedAt time.Time

	mu sync.Mutex
	// history holds the software versions that the node has seen or been told of.
	history origin.History
	// groups holds which services the same routes lead to.
	groups origin.Groups
	// begun holds the streams whose first event, or whose first event after they were taken up, this node has
	// passed on.
	begun origin.Table
	// startedRuns holds the runs of servers, by their starts, that have become known while the log was lost.
	startedRuns map[string]int64
}

// recordServers records the software versions of all servers in the log.
func (ors *origins) recordServers(servers []roster.Server, now time.Time) {
	added := map[string]bool{}
	ors.mu.Lock()
	for ix := range servers {
		if ors.history.Listed(servers[ix].Service, servers[ix].Software, now) {
			added[servers[ix].Service] = true
		}
		ors.history.Known(servers[ix].Service, ors.knownFrom())
	}
	ors.mu.Unlock()
	if len(added) > 0 {
		ors.no.agents.tellVersions()
		ors.shareMixed(added, now)
	}
}

// shareMixed gives agents the records of the streams under way of services that have a second software version
// now, or that a route has joined with one: the streams that began before need records too.
func (ors *origins) shareMixed(added map[string]bool, now time.Time) {
	for service := range ors.membersOf(added, now) {
		if len(ors.versions(service, now)) < 2 {
			continue
		}
		streams := ors.streamsOf(service, now)
		ors.no.logger.Info().Str("service", service).Strs("versions", ors.versions(service, now)).Int("streams", len(streams)).Msg("software_versions_mixed")
		ors.no.agents.shareOrigins(streams)
	}
}

// membersOf returns the services of the groups of services.
func (ors *origins) membersOf(services map[string]bool, now time.Time) map[string]bool {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	members := map[string]bool{}
	for service := range services {
		for _, member := range ors.groups.Of(service, now) {
			members[member] = true
		}
	}
	return members
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
	several := len(ors.groupVersions(service, now)) > 1 || software == "" && ors.history.States(service, now)
	ors.mu.Unlock()
	return several || ors.logLost() && ors.startedAgain(service, now)
}

// logLost reports whether the servers' records cannot be read.
func (ors *origins) logLost() bool { return ors.no.feeds.followers[ServersTopic.String()].lost() }

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

// found is what is known of what began a stream.
type found struct {
	origin origin.Origin
	// source is where the origin was found.
	source string
	// inStep is true if the node has learned all software versions with which the stream may have begun, as far as
	// others know of them.
	inStep bool
}

// find finds out what began a stream.
func (ors *origins) find(ctx context.Context, rq *request) found {
	if rq.info.Resumes == "" {
		return found{source: originUnknown, inStep: ors.becomeInStep(ctx, rq.start, originReply{})}
	}
	ors.mu.Lock()
	or, known := ors.begun.Get(rq.streamKey, time.Now())
	ors.mu.Unlock()
	if known {
		return found{origin: or, source: originOwn}
	}
	ors.no.agents.awaitLinks(ctx)
	re := ors.no.agents.queryOrigin(ctx, rq.attemptID(0), rq.streamKey, rq.service.Name)
	if re.known {
		return found{origin: re.origin, source: originAgent}
	}
	ors.learnVersions(re.versions, time.Now())
	return found{source: originUnknown, inStep: ors.becomeInStep(ctx, rq.start, re)}
}

// becomeInStep makes sure that the node knows the servers from which the stream of a request that came at a time can have
// come: it reads their records. While the log cannot be read, the homes of the stream can tell as well, unless the node
// has lost most agents.
func (ors *origins) becomeInStep(ctx context.Context, until time.Time, re originReply) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTime)
	defer cancel()
	return ors.no.feeds.followers[ServersTopic.String()].catchUp(ctx, until) || re.complete && ors.no.agents.mostLinked()
}
