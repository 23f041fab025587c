package direct

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/entry/internal/memory"
)

const (
	// defaultTimeout applies to callers that state no timeout.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long before the end of its timeout the caller must be answered.
	answerMargin = 40 * time.Millisecond
	// defaultMaxBodyBytes limits request bodies until the operators' limits are known.
	defaultMaxBodyBytes = 4 << 20
	// writeGrace is how long after the end of its time a caller may take to read the refusal.
	writeGrace = time.Second
	// refusedBodyMax is how long the body of a request that is refused by its head is waited for, refusedBodyBytes how much
	// of it is read.
	refusedBodyMax   = 100 * time.Millisecond
	refusedBodyBytes = 256 << 10
)

// request is a caller's request while the node handles it.
type request struct {
	no      *Node
	info    RequestInfo
	route   *paths.Route
	service *paths.Service
	// charge is what the caller's organisation was charged for the request.
	charge quotaCharge
	// routesVersion is the version of the routing table that matched the request.
	routesVersion int64
	method        string
	target        string
	hostHeader    string
	header        http.Header
	body          []byte
	// hold is the memory that counts for the body.
	hold memory.Hold
	// identified is true if the routing table has organisations. key is the digest of the caller's key, and organisation the
	// holder of the key, nil if there is none.
	identified   bool
	key          paths.Digest
	organisation *paths.Organisation
	// rank orders the request by urgency, zero being the most urgent.
	rank int
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun bool
	// bodyBytesMax is the operators' limit on the size of the body, zero for the default.
	bodyBytesMax int64
	// start is when the head of the request was read, wholeAt when its body was, zero before.
	start, wholeAt time.Time
	// deadline is when the caller must be answered: answerMargin before the end of its timeout, or
	// at the end of defaultTimeout if it states none, but no later than the end of the route's
	// timeout.
	deadline time.Time
	// hr is the caller's request as it was read, wr writes the answer.
	hr *http.Request
	wr gin.ResponseWriter
	// popular is true if this node receives frequent requests for the adapter.
	popular bool
	// redirected is true once an agent has refused the request because its engine was busier than
	// expected.
	redirected bool
	// contentFingerprint is the result of fingerprint, empty until it is first needed.
	contentFingerprint string
	// answerStarted is true once any part of an answer has been written.
	answerStarted bool
	// connections holds the numbers of the connections that the request was sent on.
	connections []uint64
	// holds is the number of bytes that the node holds of answers to the request.
	holds int
	// streamKey identifies the stream that the request begins or takes up.
	streamKey origin.StreamKey
	// begun is true once the stream has its first event, or if the request takes it up; origin is what began it.
	begun  bool
	origin origin.Origin
	// stream tracks the events written to the caller, for routes that stream; progress tells whether they go on.
	stream   streamState
	progress progress
}

// serve handles one request of a caller.
func (no *Node) serve(gc *gin.Context) {
	no.inFlight.Add(1)
	defer no.inFlight.Add(-1)
	rq := &request{no: no, start: time.Now(), hr: gc.Request, wr: gc.Writer}
	connRequests, connAge := countRequest(gc.Request.Context())
	if no.drain.begun() {
		gc.Header("Connection", "close")
	}
	err := rq.parse(gc.Request)
	rq.boundWrites()
	if err != nil {
		rq.awaitRefusedBody(gc.Request)
		rq.respondError(err)
		return
	}
	ctx, endAnswer := no.drain.boundAnswer(gc.Request.Context())
	defer endAnswer()
	ctx, cancel := context.WithDeadline(ctx, rq.deadline)
	defer cancel()
	defer rq.hold.Release()
	if err := rq.takeQuota(ctx); err != nil {
		rq.awaitRefusedBody(gc.Request)
		rq.respondError(err)
		return
	}
	defer rq.returnQuota()
	if err := rq.prepare(ctx, gc.Request); err != nil {
		rq.respondError(err)
		rq.hold.Linger(rq.wr, gc.Request)
		return
	}
	if no.drain.begun() {
		rq.logTakenInStop(connRequests, connAge)
	}
	rq.beginOrder()
	rq.runAttempts(ctx)
}

// boundWrites makes writes to the caller fail soon after the end of the request's time. A caller that keeps its connection
// open and does not read would otherwise keep the grant and the memory of its request.
func (rq *request) boundWrites() {
	end := rq.deadline
	if end.IsZero() {
		end = rq.start.Add(defaultTimeout)
	}
	// A connection whose deadline cannot be set has ended.
	_ = http.NewResponseController(rq.wr).SetWriteDeadline(end.Add(writeGrace))
}

// awaitRefusedBody drops the body of a request that is refused by its head. If it does not arrive soon, the connection ends with
// the answer: else net/http would read what is left of the body before it sends the answer.
func (rq *request) awaitRefusedBody(hr *http.Request) {
	if hr.ContentLength == 0 || hr.Header.Get("Expect") != "" {
		return
	}
	rc := http.NewResponseController(rq.wr)
	// A connection whose deadline cannot be set has ended.
	_ = rc.SetReadDeadline(time.Now().Add(refusedBodyMax))
	if _, err := io.Copy(io.Discard, io.LimitReader(hr.Body, refusedBodyBytes)); err != nil {
		rq.wr.Header().Set("Connection", "close")
		return
	}
	_ = rc.SetReadDeadline(time.Time{})
}

// logTakenInStop logs a request that was read whole, or waits, while the node is stopping.
func (rq *request) logTakenInStop(connRequests int64, connAge time.Duration) {
	ev := rq.no.logger.Info().Str("request", rq.info.ID).Str("kind", rq.route.Kind.String()).Dur("body_took", time.Since(rq.start)).Int("body", len(rq.body)).
		Dur("left", rq.timeLeft()).Int64("connection_requests", connRequests).Dur("connection_age", connAge)
	rq.logOrganisation(ev)
	rq.no.drain.logStage(ev)
	ev.Msg("request_taken_in_stop")
}

// prepare reads the body and finds out what began the stream that the request takes up, if it does.
func (rq *request) prepare(ctx context.Context, hr *http.Request) error {
	ctx, endWait := rq.no.drain.boundWait(ctx, rq.terms())
	defer endWait()
	if err := rq.readBody(ctx, hr); err != nil {
		return err
	}
	rq.wholeAt = time.Now()
	err := rq.takeUp(ctx)
	if stopsNode(ctx) {
		return rq.no.stoppingError()
	}
	return err
}

// parse reads the head of the request and matches it to a route and a service; its errors have type
// fault.Error.
func (rq *request) parse(hr *http.Request) error {
	no := rq.no
	info, err := no.options.Protocol.RequestInfo(hr)
	if err != nil {
		return fault.New(fault.Invalid, err.Error(), "correct the request")
	}
	rq.info = info
	no.awaitRoutes(hr.Context())
	ta := no.view.table.Load()
	if ta == nil {
		return no.notReadyError()
	}
	rq.method, rq.target, rq.hostHeader, rq.header = hr.Method, hr.RequestURI, hr.Host, hr.Header
	rq.routesVersion = ta.Version
	path, _, _ := strings.Cut(rq.target, "?")
	route, ok := ta.Match(hr.Host, path)
	if !ok {
		return fault.New(fault.NotFound, "no route matches the host and path", "ask an operator for the routes")
	}
	rq.route = route
	rq.deadline = rq.start.Add(rq.timeout())
	if err := rq.identify(ta); err != nil {
		return err
	}
	service, ok := ta.Services[route.Service(no.options.Random())]
	if !ok {
		return fault.New(fault.Unavailable, "the route's service is not known", "ask an operator").WithRetryAfter(notReadyRetryAfter)
	}
	rq.service = &service
	rq.bodyBytesMax = ta.Limits.BodyBytes
	return nil
}

// notReadyError returns the error for requests that arrive before the node has read the
// routes.
func (no *Node) notReadyError() error {
	if no.view.routesLogDown.Load() {
		return fault.New(fault.NotReady, "the log of routes does not answer", "send the request again").WithRetryAfter(logDownRetryAfter)
	}
	return fault.New(fault.NotReady, "the node has not read the routes yet", "send the request again").WithRetryAfter(notReadyRetryAfter)
}

// timeout returns the time within which the caller must be answered.
func (rq *request) timeout() time.Duration {
	timeout := defaultTimeout
	if rq.info.CallerTimeout > 0 {
		timeout = rq.info.CallerTimeout - answerMargin
	}
	if rq.route.Timeout > 0 {
		timeout = min(timeout, rq.route.Timeout)
	}
	return max(0, timeout)
}

// callerWaits returns how long the caller waits for the answer from now on.
func (rq *request) callerWaits() time.Duration {
	if rq.info.CallerTimeout > 0 {
		return rq.info.CallerTimeout - time.Since(rq.start)
	}
	return defaultTimeout
}

// timeLeft returns the time until the caller must be answered, zero if its timeout is not known yet.
func (rq *request) timeLeft() time.Duration {
	if rq.deadline.IsZero() {
		return 0
	}
	return time.Until(rq.deadline)
}

// fingerprint returns a hash by which the request is recognized when its caller sends it again.
func (rq *request) fingerprint() string {
	if rq.contentFingerprint == "" {
		rq.contentFingerprint = poison.RequestFingerprint(rq.method, rq.hostHeader, rq.target, rq.info.Model+"/"+rq.info.Adapter, rq.body)
	}
	return rq.contentFingerprint
}

// spreadRequest returns the request in the form that server selection needs.
func (rq *request) spreadRequest(now time.Time, exclude []string) spread.Request {
	place := &rq.no.options.Settings.Place
	version, versionMin := rq.no.view.version(rq.info.adapterKey(), rq.no.versionSettleTime(), now)
	return spread.Request{
		Service: rq.service.Name, Model: rq.info.Model, Adapter: rq.info.Adapter, Version: version, VersionMin: versionMin,
		Popular: rq.popular, PromptTokens: rq.info.PromptTokens, Goals: rq.goals(), Zone: place.Zone, Region: place.Region, Exclude: exclude,
	}
}

// goals returns what the request's caller expects of a stream.
func (rq *request) goals() spread.Goals {
	if rq.route.Kind != paths.Stream {
		return spread.Goals{}
	}
	return spread.Goals{FirstEvent: rq.route.Target, PauseMax: rq.route.PauseMax}
}

// versionSettleTime returns how long after a version's announcement the node may still use
// older ones: half of version_ms.
func (no *Node) versionSettleTime() time.Duration {
	return time.Duration(no.options.Settings.VersionMs) * time.Millisecond / 2
}
