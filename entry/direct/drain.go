package direct

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/drain"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/paths"
)

const (
	// stopRetryAfterMin and stopRetryAfterMax bound the time after which callers are asked to send a request to another
	// node. It differs between them, as many are told at the same time.
	stopRetryAfterMin = 50 * time.Millisecond
	stopRetryAfterMax = 250 * time.Millisecond
)

// errNodeStopping is why the context of a request ends in a planned stop.
var errNodeStopping = errors.New("direct: the node is stopping; send the request to another node")

// draining is a planned stop of the node. Requests are served as always as long as their answers can be expected before its
// end; others are answered as not run. At its end requests that still run are answered too.
type draining struct {
	// begins ends when the stop begins, answers when no request may run any more.
	begins, answers context.Context
	endBegins       context.CancelFunc
	endAnswers      context.CancelCauseFunc

	// mu guards the fields below.
	mu    sync.Mutex
	stop  drain.Stop
	times drain.Times
}

// newDraining returns the state of a node that is not stopping.
func newDraining() *draining {
	dr := &draining{}
	dr.begins, dr.endBegins = context.WithCancel(context.Background())
	dr.answers, dr.endAnswers = context.WithCancelCause(context.Background())
	return dr
}

// begin begins a stop that takes at most a time, and returns its timetable.
func (dr *draining) begin(now time.Time, length time.Duration) drain.Stop {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.stop = drain.NewStop(now, length)
	dr.endBegins()
	time.AfterFunc(dr.stop.AnswersEndAt.Sub(now), func() { dr.endAnswers(errNodeStopping) })
	return dr.stop
}

// timetable returns the timetable of the stop.
func (dr *draining) timetable() drain.Stop {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.stop
}

// begun reports whether the node is stopping.
func (dr *draining) begun() bool { return dr.begins.Err() != nil }

// logStage adds to a log line how long the node has been stopping and when answers end. It adds nothing while the node
// does not stop.
func (dr *draining) logStage(ev *zerolog.Event) {
	if st := dr.timetable(); st.Begun() {
		ev.Dur("stopping_for", time.Since(st.BeganAt)).Dur("answers_end_in", time.Until(st.AnswersEndAt))
	}
}

// recordAnswer records how long the whole answer to a request took.
func (dr *draining) recordAnswer(rq drain.Request, took time.Duration) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.times.Record(rq, took)
}

// estimate returns how long the answer to a request may take.
func (dr *draining) estimate(rq drain.Request) drain.Estimate {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.times.Estimate(rq)
}

// boundAnswer returns a context that also ends when no request may run any more.
func (dr *draining) boundAnswer(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(dr.answers, func() { cancel(context.Cause(dr.answers)) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// startTerms is what decides until when an attempt may be sent.
type startTerms struct {
	request drain.Request
	// answerBegun is true if the caller has a part of the answer.
	answerBegun bool
	// wholeAt is when the body was there, zero while it is being read.
	wholeAt, deadline time.Time
}

// terms returns what decides until when the next attempt may be sent.
func (rq *request) terms() startTerms {
	return startTerms{request: rq.drainRequest(), answerBegun: rq.answerStarted, wholeAt: rq.wholeAt, deadline: rq.deadline}
}

// drainRequest returns what the time of the answer depends on.
func (rq *request) drainRequest() drain.Request {
	return drain.Request{Service: rq.service.Name, Route: rq.route.Name, Size: rq.info.answerSize(), Streams: rq.route.Kind == paths.Stream}
}

// latestStart returns until when an attempt may be sent: until the deadline, and while the node stops only as long as its
// answer can be expected before the end of answers.
func (dr *draining) latestStart(sr startTerms) time.Time {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	switch {
	case !dr.stop.Begun():
		return sr.deadline
	case sr.answerBegun:
		return dr.stop.LatestResume(sr.deadline)
	case sr.wholeAt.IsZero():
		return dr.stop.LatestWhole(dr.times.Estimate(sr.request), sr.deadline)
	}
	return dr.stop.LatestStart(dr.times.Estimate(sr.request), sr.wholeAt, sr.deadline)
}

// boundWait returns a context that also ends when the attempt may no longer be sent because the node is stopping.
func (dr *draining) boundWait(ctx context.Context, sr startTerms) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(dr.begins, func() {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(dr.latestStart(sr))):
			cancel(errNodeStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// checkStart reports whether an attempt may still be sent after a wait that is expected before it, and logs what a stop does
// not let begin.
func (rq *request) checkStart(wait time.Duration, now time.Time) bool {
	if !rq.no.drain.begun() {
		return true
	}
	sr := rq.terms()
	latest := rq.no.drain.latestStart(sr)
	if !now.Add(wait).After(latest) {
		return true
	}
	es := rq.no.drain.estimate(sr.request)
	ev := rq.no.logger.Info().Str("request", rq.info.ID).Dur("wait", wait).Dur("latest_start_in", latest.Sub(now)).Int("size", sr.request.Size).
		Int("answers_known", es.Count).Dur("likely", es.Likely).Dur("sure", es.Sure).Dur("left", rq.timeLeft())
	rq.no.drain.logStage(ev)
	ev.Msg("start_too_late")
	return false
}

// recordAnswerTime records how long an attempt took whose answer is whole. An answer to a stream that was taken up is only
// a part of one.
func (rq *request) recordAnswerTime(at *attempt) {
	if !at.goesOn {
		rq.no.drain.recordAnswer(rq.drainRequest(), time.Since(at.sentAt))
	}
}

// answerSize returns the expected number of tokens of the answer, zero if it is not known.
func (ri *RequestInfo) answerSize() int {
	if ri.OutputExpected > 0 {
		return ri.OutputExpected
	}
	return ri.OutputTokens
}

// stopsNode reports whether a context has ended because the node is stopping.
func stopsNode(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errNodeStopping) }

// stoppingError returns the error for a request that no server has got before the node stops.
func (no *Node) stoppingError() *fault.Error {
	metricTooLate.Add(1)
	retryAfter := stopRetryAfterMin + time.Duration(no.options.Random()*float64(stopRetryAfterMax-stopRetryAfterMin))
	return fault.New(fault.Unavailable, "the node is stopping and no backend server has run the request", "send it again to another node").
		WithRetryAfter(retryAfter)
}
