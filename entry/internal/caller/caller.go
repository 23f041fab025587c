package caller

import (
	"expvar"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/limit"
	"github.com/bambooladder/bambooladder/entry/internal/config"
	"github.com/bambooladder/bambooladder/entry/internal/memory"
	"github.com/bambooladder/bambooladder/entry/internal/relay"
)

const (
	// TimeoutHeader is the header with the caller's timeout in milliseconds.
	TimeoutHeader = "Bambooladder-Timeout-Ms"
	// RequestIDHeader is the response header with the ID that the request has in log lines.
	RequestIDHeader = "X-Request-Id"

	// notReadyRetryAfter is the suggested wait after a refusal because the settings are not read
	// yet.
	notReadyRetryAfter = time.Second

	// Keys of values in a gin context.
	tokenOwnerKey = "holder"
	requestIDKey  = "request"
)

var (
	metricRequests = expvar.NewMap("requests")
	metricRefusals = expvar.NewMap("refusals")
	// metricMemory has what each node of the process holds of bodies.
	metricMemory = expvar.NewMap("callers_memory")
	// metricBuffers has the state of each node's buffers of answers.
	metricBuffers = expvar.NewMap("answer_buffers")
)

// Settings provides the settings in force.
type Settings interface {
	// View returns the settings in force.
	View() *config.View
	// Ready reports whether the settings have been read.
	Ready() bool
}

// Options configures a Caller.
type Options struct {
	Place    conf.Place
	Settings Settings
	Relay    *relay.Relay
	Logger   zerolog.Logger
	// Ready reports whether the node accepts new requests.
	Ready func() bool
	// Stopping reports whether a planned stop of the node has begun.
	Stopping func() bool
}

// Caller serves the HTTP API for callers.
type Caller struct {
	op Options
	// memory is what the node may hold of bodies.
	memory memory.Budget
	// buffers limits the memory of answers that are not sent yet.
	buffers buffers

	// mu protects teams.
	mu    sync.Mutex
	teams limit.Teams
}

// NewCaller returns the HTTP API for callers.
func NewCaller(op Options) *Caller {
	ca := &Caller{op: op}
	metricMemory.Set(op.Place.Name, expvar.Func(func() any { return ca.memory.Stats() }))
	metricBuffers.Set(op.Place.Name, expvar.Func(func() any { return ca.buffers.stats() }))
	return ca
}

// Handler returns the handler of all paths.
func (ca *Caller) Handler() http.Handler {
	en := gin.New()
	en.ContextWithFallback = true
	en.GET("/health", func(gc *gin.Context) { gc.Status(http.StatusOK) })
	en.GET("/ready", ca.serveReady)
	auth := en.Group("/", ca.authenticate)
	auth.POST("/v1/chat/completions", ca.serveCompletion)
	auth.POST("/v1/completions", ca.serveCompletion)
	auth.GET("/v1/models", ca.serveModels)
	auth.Any("/services/:service/*path", ca.serveService)
	en.NoRoute(func(gc *gin.Context) {
		ca.abortWithError(gc, fault.New(fault.NotFound, "path "+gc.Request.URL.Path+" does not exist", "see docs/CALLERS.md for the paths"))
	})
	return en
}

// serveReady answers the load balancer's readiness check.
func (ca *Caller) serveReady(gc *gin.Context) {
	if !ca.op.Ready() {
		gc.Status(http.StatusServiceUnavailable)
		return
	}
	gc.Status(http.StatusOK)
}

// authenticate gives the request an ID and finds the owner of its bearer token. It refuses the
// request if the token is not a caller's.
func (ca *Caller) authenticate(gc *gin.Context) {
	id := uuid.Must(uuid.NewV7()).String()
	gc.Set(requestIDKey, id)
	gc.Header(RequestIDHeader, id)
	token, found := strings.CutPrefix(gc.GetHeader("Authorization"), "Bearer ")
	own, known := ca.op.Settings.View().TokenOwner(token)
	switch {
	case !ca.op.Settings.Ready():
		ca.abortWithError(gc, fault.New(fault.NotReady, "the node has not read the settings yet", "send the request to another entry node").
			WithRetryAfter(notReadyRetryAfter))
	case !found:
		ca.abortWithError(gc, fault.New(fault.Unauthorized, "the request carries no bearer token", "send Authorization: Bearer <token>"))
	case !known:
		ca.abortWithError(gc, fault.New(fault.Unauthorized, "the bearer token is not known", "ask the team's operator for a token"))
	case own.Role != conf.TokenRoleCaller:
		ca.abortWithError(gc, fault.New(fault.Forbidden, "the bearer token is an operator's", "use a caller's token"))
	default:
		gc.Set(tokenOwnerKey, own)
	}
}

// tokenOwner returns the owner of the request's bearer token.
func tokenOwner(gc *gin.Context) config.TokenOwner {
	own, _ := gc.MustGet(tokenOwnerKey).(config.TokenOwner)
	return own
}

// admit counts a request as in flight, or returns an error if a limit of the team is reached.
// The returned function counts the request as ended.
func (ca *Caller) admit(team string, li conf.Limits) (func(), error) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if err := ca.teams.Admit(team, li, time.Now()); err != nil {
		return nil, err
	}
	return func() {
		ca.mu.Lock()
		defer ca.mu.Unlock()
		ca.teams.Release(team)
	}, nil
}

// deadline returns the time at which the request times out: the deployment's request timeout, or
// the caller's if that is shorter.
func deadline(gc *gin.Context, de conf.Deployment) (time.Time, error) {
	allowed := de.RequestTimeout()
	if text := gc.GetHeader(TimeoutHeader); text != "" {
		millis, err := strconv.Atoi(text)
		if err != nil || millis < 1 {
			return time.Time{}, fault.New(fault.Invalid, TimeoutHeader+" is not a whole number from 1", "give milliseconds")
		}
		allowed = min(allowed, time.Duration(millis)*time.Millisecond)
	}
	return time.Now().Add(allowed), nil
}

// errorDetail is an error in the format of the completions API.
type errorDetail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Param        *string `json:"param"`
	Code         string  `json:"code"`
	Remedy       string  `json:"remedy"`
	Outcome      string  `json:"outcome"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
}

// errorBody is the response body of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorResponse returns an error as a *fault.Error and its response body. An error that is not a
// *fault.Error becomes unavailable with an unknown outcome.
func errorResponse(err error) (*fault.Error, errorBody) {
	fe := &fault.Error{}
	if !errors.As(err, &fe) {
		fe = fault.New(fault.Unavailable, "the request failed", "send it again later").WithOutcome(fault.Unknown)
	}
	return fe, errorBody{Error: errorDetail{
		Message: fe.Error(), Type: string(fe.Kind), Code: string(fe.Kind), Remedy: fe.Remedy,
		Outcome: string(fe.Outcome), RetryAfterMs: fe.RetryAfter.Milliseconds(),
	}}
}

// abortWithError answers the request with an error, counts it in the metrics and logs it.
func (ca *Caller) abortWithError(gc *gin.Context, err error) {
	fe, body := errorResponse(err)
	metricRefusals.Add(string(fe.Kind), 1)
	ca.op.Logger.Info().Str("request", gc.GetString(requestIDKey)).Str("reason", string(fe.Kind)).
		Str("outcome", string(fe.Outcome)).Str("detail", fe.Message).Msg("request_refused")
	if fe.RetryAfter > 0 {
		gc.Header("Retry-After", strconv.Itoa(int(math.Ceil(fe.RetryAfter.Seconds()))))
	}
	gc.AbortWithStatusJSON(fe.Status(), body)
}
