package direct

import (
	"context"
	"sync"
	"time"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/wire"
)

// reasonSoftwareChanged means that the server may have started again at another software version since it was
// chosen for a stream that goes on.
const reasonSoftwareChanged = "software_changed"

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

// takeUp finds out what began the stream that the request takes up, if it does. It returns an error if the
// stream cannot go on because that is not known.
func (rq *request) takeUp(ctx context.Context) error {
	rq.streamKey = origin.KeyOf(rq.info.ID)
	if rq.route.Kind != paths.Stream || rq.info.LastEvent == "" {
		return nil
	}
	rq.streamKey = origin.KeyOf(rq.info.Resumes)
	metricTakenUp.Add(1)
	or, source := rq.no.origins.find(ctx, rq)
	if source != originUnknown && !rq.moveTo(or.Service) {
		// The route leads to other services by now, whose versions are not those of the first one.
		rq.no.logger.Info().Str("request", rq.info.ID).Str("resumes", rq.info.Resumes).Str("service", or.Service).Msg("stream_changes_service")
		return nil
	}
	versions := rq.no.origins.versions(rq.service.Name, time.Now())
	software, verdict := origin.Decide(or, source != originUnknown, versions)
	rq.no.logger.Info().Str("request", rq.info.ID).Str("resumes", rq.info.Resumes).Str("last_event", rq.info.LastEvent).Str("source", source).
		Str("software", software).Strs("versions", versions).Bool("goes_on", verdict == origin.GoesOn).Dur("took", time.Since(rq.start)).Msg("stream_taken_up")
	if verdict == origin.Undecided {
		return notResumableError("it is not known which software version began the stream")
	}
	rq.setOrigin(origin.Origin{Service: rq.service.Name, Software: software})
	return nil
}

// moveTo makes a service of the route's serve the request, and reports whether the route leads to it.
func (rq *request) moveTo(service string) bool {
	if service == rq.service.Name {
		return true
	}
	ta := rq.no.view.table.Load()
	for _, sp := range rq.route.Splits {
		if sv, ok := ta.Services[service]; ok && sp.Service == service {
			rq.service = &sv
			return true
		}
	}
	return false
}

// setOrigin records what began the stream, at whose software version alone it goes on.
func (rq *request) setOrigin(or origin.Origin) { rq.origin, rq.begun = or, true }

// requiredSoftware returns the software version at which alone the stream may go on, and whether there is one.
func (rq *request) requiredSoftware(now time.Time) (string, bool, error) {
	if !rq.begun {
		return "", false, nil
	}
	software, verdict := origin.Decide(rq.origin, true, rq.no.origins.versions(rq.origin.Service, now))
	if verdict == origin.Undecided {
		return "", false, notResumableError("the software version that began the stream is not known")
	}
	return software, true, nil
}

// admitFirstEvent decides whether the first event of an attempt may be passed on. The first of all fixes the
// software version of the stream; later ones must come from that version.
func (rq *request) admitFirstEvent(at *attempt) bool {
	no := rq.no
	no.mu.Lock()
	software := no.fleet.SoftwareOfRun(at.server, at.born, at.software)
	no.mu.Unlock()
	if rq.begun && software != rq.origin.Software {
		rq.logAttempt(at, "first_event_rejected").Str("software", software).Str("begun_at", rq.origin.Software).Int64("born", at.born).Send()
		return false
	}
	if !rq.begun {
		rq.setOrigin(origin.Origin{Service: rq.service.Name, Software: software})
	}
	if rq.route.Resumable && rq.stream.count == 0 {
		no.origins.record(rq)
	}
	return true
}

// notResumableError returns the error for a stream that can go on nowhere.
func notResumableError(reason string) error {
	metricNotResumable.Add(1)
	return fault.New(fault.NotResumable, "the stream cannot go on: "+reason, "begin it anew, without the ID of its last event")
}
