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
	br.send(ctx, se.name, &wire.Frame{OriginAnswer: &wire.OriginAnswer{
		Attempt: oq.Attempt, Known: known, Service: or.Service, Software: or.Software,
	}})
}
