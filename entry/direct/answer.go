package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// maxDiscardBytes limits how much of a discarded answer is read.
	maxDiscardBytes = 64 << 10
	// passOnBytes is the size of the buffer by which an answer is passed on as it arrives.
	passOnBytes = 8 << 10
)

// bufferedAnswer is an answer that has been read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// discardBody reads and drops an answer's body, so that the connection can be reused.
func discardBody(an *pool.Answer) {
	// If the read fails, the connection is closed instead of reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(an.Body, maxDiscardBytes))
}

// deliverBuffered reads an answer and delivers it. A server error, or any answer once a stream has
// started, is returned instead, as another attempt may succeed. An answer that is too long to be held is
// passed on as it arrives, errors included.
func (rq *request) deliverBuffered(ctx context.Context, at *attempt, an *pool.Answer) (result, bool) {
	no := rq.no
	data, whole, err := no.held.read(an)
	rq.holds += cap(data)
	if err != nil {
		return rq.classifySendError(ctx, at, err), false
	}
	took := time.Since(at.start)
	histogram(histogramFirstByte).record(took)
	ans := &bufferedAnswer{status: an.Status, header: an.Header, body: data}
	if !whole && !rq.answerStarted {
		rq.passOnAnswer(ctx, at, ans, an, took)
		return result{outcome: retry.Failed}, true
	}
	if whole {
		no.crashes.recordAnswered(rq)
	}
	if rq.answerStarted || an.Status >= http.StatusInternalServerError {
		no.recordFailure(at.server)
		return result{outcome: retry.Failed, reason: "status_" + strconv.Itoa(an.Status), serverFailure: ans}, false
	}
	no.recordSuccess(at, took)
	if an.Status < http.StatusMultipleChoices {
		no.crashes.recordPartsAnswered(rq)
		rq.recordAnswerTime(at)
	}
	rq.deliverAnswer(at, ans)
	// The outcome only makes release report the grant as done.
	return result{outcome: retry.Failed}, true
}

// passOnAnswer writes the held part of an answer to the caller and then the rest as it arrives. If the
// rest breaks off, the connection is aborted, so that the answer does not look complete. The argument
// took is the time until the held part had arrived.
func (rq *request) passOnAnswer(ctx context.Context, at *attempt, ans *bufferedAnswer, an *pool.Answer, took time.Duration) {
	rq.logAttempt(at, "answer_not_held").Int("status", ans.status).Int("held", len(ans.body)).Int64("length", an.Length()).Send()
	metricPassedOn.Add(1)
	copyHeader(rq.wr.Header(), ans.header)
	if length := an.Length(); length >= 0 {
		rq.wr.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	rq.wr.WriteHeader(ans.status)
	rq.answerStarted = true
	delivered := rq.write(ans.body)
	if delivered {
		var err error
		if delivered, err = rq.passOn(an.Body); err != nil {
			rq.abortAnswer(ctx, at, err)
		}
	}
	if ans.status < http.StatusInternalServerError {
		rq.no.recordSuccess(at, took)
	} else {
		rq.no.recordFailure(at.server)
	}
	rq.logAnswered(at, ans.status, delivered)
}

// passOn writes a body to the caller as it arrives. It returns false if the caller has disconnected, and the
// error with which the body broke off.
func (rq *request) passOn(body io.Reader) (bool, error) {
	buf := make([]byte, passOnBytes)
	for {
		count, err := body.Read(buf)
		if count > 0 && !rq.write(buf[:count]) {
			return false, nil
		}
		if count < len(buf) {
			rq.wr.Flush()
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			rq.no.crashes.recordAnswered(rq)
			return true, nil
		}
		if err != nil {
			return true, err
		}
	}
}

// abortAnswer aborts the caller's connection after a part of an answer, because the rest broke off.
func (rq *request) abortAnswer(ctx context.Context, at *attempt, err error) {
	if re := rq.classifySendError(ctx, at, err); re.serverLost {
		rq.no.crashes.recordLost(rq, at, re.reason)
	}
	rq.respondError(outcomeUnknownError("the answer broke off: " + err.Error()))
}

// deliverFailure sends a server's own error answer to the caller. If a stream has started, the
// connection is aborted instead, as another answer can no longer be sent.
func (rq *request) deliverFailure(at *attempt, re result) {
	if rq.answerStarted {
		rq.respondError(outcomeUnknownError("the stream did not go on: " + re.reason))
		return
	}
	rq.deliverAnswer(at, re.serverFailure)
}

// deliverAnswer writes a buffered answer to the caller.
func (rq *request) deliverAnswer(at *attempt, ans *bufferedAnswer) {
	copyHeader(rq.wr.Header(), ans.header)
	rq.wr.Header().Set("Content-Length", strconv.Itoa(len(ans.body)))
	rq.wr.WriteHeader(ans.status)
	rq.logAnswered(at, ans.status, rq.write(ans.body))
}

// logAnswered logs and measures an answer that was written to the caller.
func (rq *request) logAnswered(at *attempt, status int, delivered bool) {
	took := time.Since(rq.start)
	rq.logAttempt(at, "request_answered").Int("status", status).Bool("delivered", delivered).Dur("took", took).Send()
	histogram(histogramWholeAnswer).record(took)
}

// hopByHopHeaders lists the headers that apply to a single connection or are set anew.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Content-Length": true, "Date": true,
}

// copyHeader copies the headers of an answer that are meant for the caller.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !hopByHopHeaders[name] {
			dst[name] = values
		}
	}
}
