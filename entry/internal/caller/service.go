package caller

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/claim"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/entry/internal/config"
	"github.com/bambooladder/bambooladder/entry/internal/memory"
	"github.com/bambooladder/bambooladder/entry/internal/relay"
)

const idempotencyKeyHeader = "Idempotency-Key"

// serveService handles a call to a plain service.
func (ca *Caller) serveService(gc *gin.Context) {
	vi := ca.op.Settings.View()
	own := tokenOwner(gc)
	ho := memory.Hold{}
	defer ho.Release()
	rq, err := ca.parseServiceCall(gc, &ho, vi, own.Team)
	if err != nil {
		ca.abortWithError(gc, err)
		ho.Linger(gc.Writer, gc.Request)
		return
	}
	ca.runRequest(gc, vi.Tree.Teams[own.Team], rq, newAnswer(gc.Writer, false, &ca.buffers))
}

// parseServiceCall reads and validates a call to a plain service.
func (ca *Caller) parseServiceCall(gc *gin.Context, ho *memory.Hold, vi *config.View, team string) (*relay.Request, error) {
	name := gc.Param("service")
	te := vi.Tree.Teams[team]
	se, ok := vi.Tree.Services[name]
	if !ok {
		return nil, fault.New(fault.NotFound, "service "+name+" does not exist", "ask an operator to add it under services")
	}
	if !te.MayCallService(name) {
		return nil, fault.New(fault.Forbidden, "team "+team+" may not call service "+name, "ask an operator to add it to the team's services")
	}
	due, body, err := ca.readDeadlineAndBody(gc, ho, vi.Tree.DeploymentOrDefault())
	if err != nil {
		return nil, err
	}
	path := gc.Param("path")
	if query := gc.Request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	rq := &relay.Request{
		ID: gc.GetString(requestIDKey), Team: team, Service: name, Method: gc.Request.Method,
		Path: path, ContentType: gc.ContentType(), Body: body, Urgency: te.Urgency.Level(),
		Weights: te.Weights, Region: ca.op.Place.Region, Deadline: due, RetryPercent: vi.Tree.DeploymentOrDefault().RetryPercent,
	}
	if se.MayRepeat(gc.Request.Method, gc.Param("path")) {
		return rq, nil
	}
	return withIdempotencyKey(rq, gc.GetHeader(idempotencyKeyHeader))
}

// withIdempotencyKey adds the idempotency key to a call that must not be repeated. It returns an
// error if the key is missing or malformed.
func withIdempotencyKey(rq *relay.Request, key string) (*relay.Request, error) {
	if key == "" {
		return nil, fault.New(fault.KeyRequired, "the call must not be repeated and carries no "+idempotencyKeyHeader,
			"send "+idempotencyKeyHeader+" with a UUID of version 7, the same one when you send the call again")
	}
	keyTime, err := claim.KeyTime(key)
	if err != nil {
		return nil, err
	}
	sum := sha256.New()
	for _, part := range []string{rq.Method, rq.Path, string(rq.Body)} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	rq.Key = claim.Key(rq.Team, rq.Service, key)
	rq.CallerKey = key
	rq.KeyTime = keyTime
	rq.BodyHash = hex.EncodeToString(sum.Sum(nil))
	return rq, nil
}
