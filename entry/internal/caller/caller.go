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
	"github.com/bambooladder/bambooladder/entry/internal/relay"
)

const (
	// TimeoutHeader carries the time a caller allows, in milliseconds.
	TimeoutHeader = "Bambooladder-Timeout-Ms"
	// RequestHeader names the request in answers and logs.
	RequestHeader = "X-Request-Id"

	notReadyWait = time.Second

	holderKey  = "holder"
	requestKey = "request"
)

var (
	metricRequests = expvar.NewMap("requests")
	metricRefusals = expvar.NewMap("refusals")
)

// Settings gives the settings in force.
type Settings interface {
	View() *config.View
	// Ready tells whether the settings were read once.
	Ready() bool
}

// Options builds the callers' interface.
type Options struct {
	Place    conf.Place
	Settings Settings
	Relay    *relay.Relay
	Logger   zerolog.Logger
	// Ready tells whether the node may be given new requests.
	Ready func() bool
}

// Caller serves the callers.
type Caller struct {
	op Options

	mu    sync.Mutex
	teams limit.Teams
}

// NewCaller returns the callers' interface.
func NewCaller(op Options) *Caller {
	return &Caller{op: op}
}

// Handler returns the HTTP interface.
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
		ca.fail(gc, fault.New(fault.NotFound, "path "+gc.Request.URL.Path+" does not exist", "see docs/CALLERS.md for the paths"))
	})
	return en
}

// serveReady tells the balancer whether to send requests.
func (ca *Caller) serveReady(gc *gin.Context) {
	if !ca.op.Ready() {
		gc.Status(http.StatusServiceUnavailable)
		return
	}
	gc.Status(http.StatusOK)
}

// authenticate finds the team of the bearer token.
func (ca *Caller) authenticate(gc *gin.Context) {
	id := uuid.Must(uuid.NewV7()).String()
	gc.Set(requestKey, id)
	gc.Header(RequestHeader, id)
	token, found := strings.CutPrefix(gc.GetHeader("Authorization"), "Bearer ")
	ho, known := ca.op.Settings.View().Holder(token)
	switch {
	case !ca.op.Settings.Ready():
		ca.fail(gc, fault.New(fault.NotReady, "the node has not read the settings yet", "send the request to another entry node").
			WithRetryAfter(notReadyWait))
	case !found:
		ca.fail(gc, fault.New(fault.Unauthorized, "the request carries no bearer token", "send Authorization: Bearer <token>"))
	case !known:
		ca.fail(gc, fault.New(fault.Unauthorized, "the bearer token is not known", "ask the team's operator for a token"))
	case ho.Role != conf.TokenRoleCaller:
		ca.fail(gc, fault.New(fault.Forbidden, "the bearer token is an operator's", "use a caller's token"))
	default:
		gc.Set(holderKey, ho)
	}
}

// holder returns the authenticated caller.
func holder(gc *gin.Context) config.Holder {
	ho, _ := gc.MustGet(holderKey).(config.Holder)
	return ho
}

// admit counts a request in and returns how to count it out.
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

// deadline returns when the answer is due.
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

// detail is the error in the form that clients of the completions API read.
type detail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Param        *string `json:"param"`
	Code         string  `json:"code"`
	Remedy       string  `json:"remedy"`
	Outcome      string  `json:"outcome"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
}

// errorBody is the body of an error.
type errorBody struct {
	Error detail `json:"error"`
}

// bodyOf renders an error.
func bodyOf(err error) (*fault.Error, errorBody) {
	fe := &fault.Error{}
	if !errors.As(err, &fe) {
		fe = fault.New(fault.Unavailable, "the request failed", "send it again later").WithOutcome(fault.Unknown)
	}
	return fe, errorBody{Error: detail{
		Message: fe.Error(), Type: string(fe.Kind), Code: string(fe.Kind), Remedy: fe.Remedy,
		Outcome: string(fe.Outcome), RetryAfterMs: fe.RetryAfter.Milliseconds(),
	}}
}

// fail answers with a typed error.
func (ca *Caller) fail(gc *gin.Context, err error) {
	fe, body := bodyOf(err)
	metricRefusals.Add(string(fe.Kind), 1)
	ca.op.Logger.Info().Str("request", gc.GetString(requestKey)).Str("reason", string(fe.Kind)).
		Str("outcome", string(fe.Outcome)).Str("detail", fe.Message).Msg("request_refused")
	if fe.RetryAfter > 0 {
		gc.Header("Retry-After", strconv.Itoa(int(math.Ceil(fe.RetryAfter.Seconds()))))
	}
	gc.AbortWithStatusJSON(fe.Status(), body)
}
