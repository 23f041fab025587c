package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// reasonEndNotConfirmed means that the answer ended with its connection, which does not show that it is whole.
	reasonEndNotConfirmed = "end_not_confirmed"
	// confirmWaitMax bounds the wait for a server that is asked whether a stream has ended.
	confirmWaitMax = time.Second
	// unframedWeight is the weight of the last stream of a service in the share of those without framing.
	unframedWeight = 1.0 / 16
	// unframedUsual is the share from which on streams without framing are what a service's servers usually send.
	unframedUsual = 0.25
)

// framing holds the share of the streams of each service that came without framing, the latest ones weighted most. The
// zero value is empty.
type framing struct {
	unframed map[string]float64
}

// record records how a stream of a service came.
func (fr *framing) record(service string, framed bool) {
	if fr.unframed == nil {
		fr.unframed = map[string]float64{}
	}
	came := 1.0
	if framed {
		came = 0
	}
	fr.unframed[service] += unframedWeight * (came - fr.unframed[service])
}

// usuallyUnframed reports whether the servers of a service usually send streams without framing.
func (fr *framing) usuallyUnframed(service string) bool { return fr.unframed[service] >= unframedUsual }

// recordFraming records how a stream of a service came, and reports whether an end without framing is usual there.
func (no *Node) recordFraming(service string, framed bool) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.framing.record(service, framed)
	return no.framing.usuallyUnframed(service)
}

// moreFollows records that the end of the last answer, if it had one, was not that of the stream.
func (ss *streamState) moreFollows() { ss.unconfirmedEnd, ss.endCounts = false, false }

// recordPartOfEvent records that an answer broke off within an event: the stream had not ended before.
func (rq *request) recordPartOfEvent(part []byte) {
	if len(part) > 0 {
		rq.stream.moreFollows()
	}
}

// endStream decides whether the end of an answer is that of the stream. An answer without framing ends with its connection,
// which also closes when its server goes away: where that is unusual, another server is asked for what follows, if the
// route allows it. A second one that has nothing to add confirms the end.
func (rq *request) endStream(at *attempt, an *pool.Answer) (result, bool) {
	usual := rq.no.recordFraming(rq.service.Name, an.Framed())
	empty := at.firstEventAt.IsZero()
	confirms := rq.stream.unconfirmedEnd && empty
	if an.Framed() || confirms || usual && !empty {
		return rq.finishStream(at, an)
	}
	rq.stream.moreFollows()
	if rq.goesOn() {
		// Where an answer has broken off before, servers are going away.
		rq.stream.unconfirmedEnd, rq.stream.endCounts = true, !empty && !rq.stream.broken
	}
	return result{outcome: retry.Unknown, reason: reasonEndNotConfirmed}, false
}

// finishUnconfirmed completes an answer whose end no other server could confirm, for the reason given by an error.
func (rq *request) finishUnconfirmed(err error) {
	metricUnconfirmedEnds.Add(1)
	rq.no.crashes.recordAnswered(rq)
	took := time.Since(rq.start)
	rq.no.logger.Info().Str("request", rq.info.ID).AnErr("reason", err).Str("last_event", rq.lastEventID()).Int("events", rq.stream.count).Dur("took", took).Msg("stream_end_not_confirmed")
	histogram(histogramWholeAnswer).record(took)
}
