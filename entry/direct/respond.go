package direct

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/entry/internal/abort"
)

// respondError answers the caller with an error, or aborts the connection if an answer has
// started. A stream that has ended, although no other server could confirm that, is completed instead.
func (rq *request) respondError(err error) {
	if rq.stream.endCounts && rq.hr.Context().Err() == nil {
		rq.finishUnconfirmed(err)
		return
	}
	fe := &fault.Error{}
	if !errors.As(err, &fe) {
		fe = fault.New(fault.Unavailable, err.Error(), "send it again later").WithOutcome(fault.Unknown)
	}
	metricFailures.Add(string(fe.Kind), 1)
	ev := rq.no.logger.Info().Str("request", rq.info.ID).Str("reason", string(fe.Kind)).Str("outcome", string(fe.Outcome)).
		Str("detail", fe.Message).Dur("retry_after", fe.RetryAfter).Dur("took", time.Since(rq.start)).Dur("left", rq.timeLeft()).Int64("routes_version", rq.routesVersion)
	rq.logOrganisation(ev)
	if rq.answerStarted {
		ev.Msg("answer_aborted")
		abort.Answer(rq.hr)
	}
	ev.Msg("request_refused")
	hd := rq.wr.Header()
	if fe.RetryAfter > 0 {
		hd.Set("Retry-After", strconv.FormatFloat(math.Ceil(fe.RetryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	if fe.Kind == fault.Unauthorized {
		hd.Set("WWW-Authenticate", "Bearer")
	}
	body := `{"error":{"type":` + strconv.Quote(string(fe.Kind)) + `,"message":` + strconv.Quote(fe.Error()) +
		`,"outcome":` + strconv.Quote(string(fe.Outcome)) + "}}\n"
	hd.Set("Content-Type", "application/json")
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	rq.wr.WriteHeader(fe.Status())
	rq.write([]byte(body))
}

// write writes a part of the answer and reports success. If the caller has disconnected, the
// request's context is canceled as well.
func (rq *request) write(data []byte) bool {
	_, err := rq.wr.Write(data)
	return err == nil
}
