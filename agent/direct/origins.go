package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/wire"
)

// keepOrigins keeps what began streams, as an entry node tells.
func (br *Broker) keepOrigins(fr *wire.Origins, now time.Time) {
	for ix := range fr.Streams {
		so := &fr.Streams[ix]
		keep := min(origin.RetentionMax, time.Duration(max(0, so.Keep))*time.Millisecond)
		br.origins.Put(origin.StreamKey(so.Stream), origin.Origin{Service: so.Service, Software: so.Software}, now.Add(keep), now)
	}
	metricOrigins.Set(int64(br.origins.Len()))
}

// answerOriginQuery tells an entry node what began a stream.
func (br *Broker) answerOriginQuery(ctx context.Context, se *session, oq *wire.OriginQuery, now time.Time) {
	or, known := br.origins.Get(origin.StreamKey(oq.Stream), now)
	br.lg.Info().Str("attempt", oq.Attempt).Uint64("stream", oq.Stream).Bool("known", known).Str("software", or.Software).
		Str("entry", se.name).Msg("origin_query_answered")
	answer := &wire.OriginAnswer{Attempt: oq.Attempt, Known: known, Service: or.Service, Software: or.Software}
	if !known && oq.Service != "" {
		answer.Versions = br.serviceVersions(oq.Service, now)
	}
	br.send(ctx, se.name, &wire.Frame{OriginAnswer: answer})
}

// keepVersions keeps the software versions of services, as an entry node tells, and answers the first such frame of
// a connection with what other nodes have told.
func (br *Broker) keepVersions(ctx context.Context, se *session, fr *wire.Versions, now time.Time) {
	for ix := range fr.Services {
		sv := &fr.Services[ix]
		for _, seen := range sv.Seen {
			br.history.Seen(sv.Service, seen.Software, now.Add(-origin.Age(seen.Age)), now)
		}
		br.history.Known(sv.Service, now.Add(-origin.Age(sv.Known)))
	}
	if se.versionsTold {
		return
	}
	se.versionsTold = true
	answer := &wire.Versions{}
	for ix := range fr.Services {
		answer.Services = append(answer.Services, *br.serviceVersions(fr.Services[ix].Service, now))
	}
	br.send(ctx, se.name, &wire.Frame{Versions: answer})
}

// serviceVersions returns the software versions of a service. A version may have been served until the next time at
// which an entry node would have told of it.
func (br *Broker) serviceVersions(service string, now time.Time) *wire.ServiceVersions {
	sv := &wire.ServiceVersions{Service: service, Known: br.history.KnownFor(service, now).Milliseconds()}
	for software, age := range br.history.LastSeen(service, now) {
		sv.Seen = append(sv.Seen, wire.SeenVersion{Software: software, Age: max(0, age-origin.TellPeriod).Milliseconds()})
	}
	return sv
}
