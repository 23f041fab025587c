package direct

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/spread"
)

const (
	// waitDefault is how long a caller is served that names no time.
	waitDefault = 30 * time.Second
	// answerMargin is the time before a caller's own limit at which it is answered.
	answerMargin = 40 * time.Millisecond
	// bodyDefault bounds a body before the operators' limits are known, in bytes.
	bodyDefault = 4 << 20
)

// request is one request of a caller on its way through the node.
type request struct {
	no      *Node
	call    Call
	ro      *paths.Route
	service *paths.Service
	// table is the version of the routes that decided.
	table  int64
	method string
	target string
	host   string
	header http.Header
	body   []byte
	start  time.Time
	// until is when the caller goes or the route's time is over.
	until time.Time
	wr    gin.ResponseWriter
	// popular is true for an adapter that this node is often asked for.
	popular bool
	// begun is true once a part of an answer has been written.
	begun bool
	// events tells of the stream, once it has begun.
	events eventState
}

// serve answers one request of a caller.
func (no *Node) serve(gc *gin.Context) {
	no.inFlight.Add(1)
	defer no.inFlight.Add(-1)
	rq := &request{no: no, start: time.Now(), wr: gc.Writer}
	if no.draining.Load() {
		gc.Header("Connection", "close")
	}
	if err := rq.read(gc.Request); err != nil {
		rq.fail(err)
		return
	}
	ctx, cancel := context.WithDeadline(gc.Request.Context(), rq.until)
	defer cancel()
	rq.carry(ctx)
}

// read finds the route and reads the request; it fails with a typed error.
func (rq *request) read(hr *http.Request) error {
	no := rq.no
	call, err := no.op.Protocol.Call(hr)
	if err != nil {
		return fault.New(fault.Invalid, err.Error(), "correct the request")
	}
	rq.call = call
	ta := no.be.table.Load()
	if ta == nil {
		return no.notReady()
	}
	rq.method, rq.target, rq.host, rq.header = hr.Method, hr.RequestURI, hr.Host, hr.Header
	rq.table = ta.Version
	path, _, _ := strings.Cut(rq.target, "?")
	ro, ok := ta.Match(hr.Host, path)
	if !ok {
		return fault.New(fault.NotFound, "no route matches the host and path", "ask an operator for the routes")
	}
	rq.ro = ro
	rq.until = rq.start.Add(rq.wait())
	service, ok := ta.Services[ro.Service(no.op.Random())]
	if !ok {
		return fault.New(fault.Unavailable, "the route's service is not known", "ask an operator").WithRetryAfter(notReadyWait)
	}
	rq.service = &service
	return rq.readBody(hr, ta.Limits.BodyBytes)
}

// notReady returns the error of a node that knows no routes.
func (no *Node) notReady() error {
	if no.be.away.Load() {
		return fault.New(fault.NotReady, "the log of routes does not answer", "send the request again").WithRetryAfter(logAwayWait)
	}
	return fault.New(fault.NotReady, "the node has not read the routes yet", "send the request again").WithRetryAfter(notReadyWait)
}

// wait returns the time within which the caller must be answered.
func (rq *request) wait() time.Duration {
	wait := waitDefault
	if rq.call.Wait > 0 {
		wait = rq.call.Wait - answerMargin
	}
	if rq.ro.Timeout > 0 {
		wait = min(wait, rq.ro.Timeout)
	}
	return max(0, wait)
}

// readBody reads the whole body.
func (rq *request) readBody(hr *http.Request, limit int64) error {
	if limit <= 0 {
		limit = bodyDefault
	}
	if hr.ContentLength > limit {
		return fault.New(fault.TooLarge, "the body is larger than allowed", "send a smaller body")
	}
	if hr.ContentLength == 0 {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(hr.Body, limit+1))
	switch {
	case err != nil:
		return fault.New(fault.Invalid, "the body did not arrive whole", "send the request again")
	case int64(len(data)) > limit:
		return fault.New(fault.TooLarge, "the body is larger than allowed", "send a smaller body")
	}
	rq.body = data
	return nil
}

// spread returns the request as the choice sees it.
func (rq *request) spread(now time.Time, exclude []string) spread.Request {
	place := &rq.no.op.Settings.Place
	version, settled := rq.no.be.version(rq.call.keyOf(), rq.no.settleTime(), now)
	return spread.Request{
		Service: rq.service.Name, Model: rq.call.Model, Adapter: rq.call.Adapter, Version: version, Settled: settled,
		Popular: rq.popular, PromptTokens: rq.call.PromptTokens, Zone: place.Zone, Region: place.Region, Exclude: exclude,
	}
}

// settleTime returns the time after which a node sends nothing to an older adapter version.
func (no *Node) settleTime() time.Duration {
	return time.Duration(no.op.Settings.VersionMs) * time.Millisecond / 2
}

// fail answers a request that brought no answer of a backend server.
func (rq *request) fail(err error) {
	fe := &fault.Error{}
	if !errors.As(err, &fe) {
		fe = fault.New(fault.Unavailable, err.Error(), "send it again later").WithOutcome(fault.Unknown)
	}
	metricFailures.Add(string(fe.Kind), 1)
	ev := rq.no.lg.Info().Str("request", rq.call.ID).Str("reason", string(fe.Kind)).Str("outcome", string(fe.Outcome)).
		Str("detail", fe.Message).Dur("retry_after", fe.RetryAfter).Dur("held", time.Since(rq.start)).Int64("routes_version", rq.table)
	if rq.begun {
		ev.Msg("answer_broken_off")
		panic(http.ErrAbortHandler)
	}
	ev.Msg("request_refused")
	hd := rq.wr.Header()
	if fe.RetryAfter > 0 {
		hd.Set("Retry-After", strconv.FormatFloat(math.Ceil(fe.RetryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	body := `{"error":{"type":` + strconv.Quote(string(fe.Kind)) + `,"message":` + strconv.Quote(fe.Error()) +
		`,"outcome":` + strconv.Quote(string(fe.Outcome)) + "}}\n"
	hd.Set("Content-Type", "application/json")
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	rq.wr.WriteHeader(fe.Status())
	rq.write([]byte(body))
}

// write writes a part of the answer; a caller that has gone is noticed by the request's context.
func (rq *request) write(data []byte) bool {
	_, err := rq.wr.Write(data)
	return err == nil
}
