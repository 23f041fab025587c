package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/paths"
)

// reasonSoftwareChanged means that the server may have started again at another software version since it was
// chosen for a stream that goes on.
const reasonSoftwareChanged = "software_changed"

// takeUp finds out what began the stream that the request takes up, if it does. It returns an error if the
// stream cannot go on because that is not known.
func (rq *request) takeUp(ctx context.Context) error {
	rq.streamKey = origin.KeyOf(rq.info.ID)
	if rq.route.Kind != paths.Stream || rq.info.LastEvent == "" {
		return nil
	}
	rq.streamKey = origin.KeyOf(rq.info.Resumes)
	metricTakenUp.Add(1)
	fd := rq.no.origins.find(ctx, rq)
	or, source := fd.origin, fd.source
	known := source != originUnknown
	if known && !rq.moveTo(or.Service) {
		// The route leads to other services by now, at which the stream goes on only with the software that began it.
		rq.no.logger.Info().Str("request", rq.info.ID).Str("resumes", rq.info.Resumes).Str("service", or.Service).Msg("stream_changes_service")
	}
	ca := rq.candidates(known && rq.service.Name == or.Service, time.Now())
	complete := ca.Complete && !rq.no.origins.startedAgain(rq.service.Name, time.Now())
	ca.Complete = complete && fd.inStep
	software, verdict := origin.Decide(or, known, ca)
	rq.no.logger.Info().Str("request", rq.info.ID).Str("resumes", rq.info.Resumes).Str("last_event", rq.info.LastEvent).Str("source", source).
		Str("software", software).Strs("versions", ca.Versions).Bool("versions_complete", complete).Bool("in_step", fd.inStep).Bool("goes_on", verdict == origin.GoesOn).Dur("took", time.Since(rq.start)).Msg("stream_taken_up")
	if verdict == origin.Undecided {
		return notResumableError("it is not known which software version began the stream")
	}
	rq.setOrigin(origin.Origin{Service: rq.service.Name, Software: software})
	return nil
}

// candidates returns the software versions that may have begun the stream that the request takes up: those of its own service,
// if that is known to have begun it, or else those of all services that may have.
func (rq *request) candidates(ownService bool, now time.Time) origin.Candidates {
	horizon := origin.Horizon(rq.callerWaits(), rq.route.Timeout)
	if ownService {
		return rq.no.origins.ownCandidates(rq.service.Name, horizon, now)
	}
	return rq.no.origins.candidates(rq.service.Name, horizon, now)
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
	software, verdict := origin.Decide(rq.origin, true, rq.candidates(true, now))
	if verdict == origin.Undecided {
		return "", false, notResumableError("the software version that began the stream is not known")
	}
	return software, true, nil
}

// admitFirstEvent decides whether the first event of an attempt may be passed on. The first of all fixes the
// software version of the stream, none if it is not sure which run of the server sent it; later ones must come from that version.
func (rq *request) admitFirstEvent(ctx context.Context, at *attempt) bool {
	no := rq.no
	known := rq.begun || !rq.route.Resumable || rq.beganAtRun(ctx, at)
	no.mu.Lock()
	software := no.fleet.SoftwareOfRun(at.server, at.born, at.software)
	no.mu.Unlock()
	if rq.begun && software != rq.origin.Software {
		rq.logAttempt(at, "first_event_rejected").Str("software", software).Str("begun_at", rq.origin.Software).Int64("born", at.born).Send()
		return false
	}
	if !known {
		software = ""
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
