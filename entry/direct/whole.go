package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// wholeMax bounds an answer that is read whole, in bytes.
	wholeMax = 16 << 20
	// dropMax bounds the body of an answer that nobody gets, in bytes.
	dropMax = 64 << 10
)

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// drop reads an answer that nobody gets, so that its connection is used again.
func drop(an *pool.Answer) {
	// A failed read only means that the connection is closed.
	_, _ = io.Copy(io.Discard, io.LimitReader(an.Body, dropMax))
}

// passWhole reads a whole answer and delivers it, unless it is a failure that another attempt may mend.
func (rq *request) passWhole(ctx context.Context, at *attempt, an *pool.Answer) (result, bool) {
	no := rq.no
	data, err := io.ReadAll(io.LimitReader(an.Body, wholeMax))
	if err != nil {
		return rq.sendFailed(ctx, at, err), false
	}
	took := time.Since(at.start)
	histogram(histogramFirst).record(took)
	wh := &whole{status: an.Status, header: an.Header, body: data}
	if rq.begun || an.Status >= http.StatusInternalServerError {
		no.failed(at.server)
		return result{outcome: retry.Failed, reason: "status_" + strconv.Itoa(an.Status), answer: wh}, false
	}
	no.succeeded(at, took)
	rq.deliver(at, wh)
	return result{outcome: retry.Failed}, true
}

// deliverFailure writes a server's own failure to the caller. A stream that has begun
// cannot end with another answer: it is broken off.
func (rq *request) deliverFailure(at *attempt, re result) {
	if rq.begun {
		rq.fail(unknownOutcome("the stream did not go on: " + re.reason))
		return
	}
	rq.deliver(at, re.answer)
}

// deliver writes a whole answer to the caller.
func (rq *request) deliver(at *attempt, wh *whole) {
	copyHeader(rq.wr.Header(), wh.header)
	rq.wr.Header().Set("Content-Length", strconv.Itoa(len(wh.body)))
	rq.wr.WriteHeader(wh.status)
	delivered := rq.write(wh.body)
	rq.log(at, "request_answered").Int("status", wh.status).Bool("delivered", delivered).Dur("took", time.Since(rq.start)).Send()
	histogram(histogramWhole).record(time.Since(rq.start))
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Content-Length": true, "Date": true,
}

// copyHeader copies the headers of an answer that concern the caller.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !hopHeaders[name] {
			dst[name] = values
		}
	}
}
