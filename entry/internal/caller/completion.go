package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/entry/internal/config"
	"github.com/bambooladder/bambooladder/entry/internal/memory"
	"github.com/bambooladder/bambooladder/entry/internal/relay"
)

const jsonType = "application/json"

// reservedKeys are the fields that callers cannot pass on to an engine, because they are set by
// the system.
var reservedKeys = []string{"model", "resume_tokens"}

// serveCompletion handles a completion request.
func (ca *Caller) serveCompletion(gc *gin.Context) {
	vi := ca.op.Settings.View()
	own := tokenOwner(gc)
	ho := memory.Hold{}
	defer ho.Release()
	rq, err := ca.parseCompletion(gc, &ho, vi, own.Team)
	if err != nil {
		ca.abortWithError(gc, err)
		ho.Linger(gc.Writer, gc.Request)
		return
	}
	ca.runRequest(gc, vi.Tree.Teams[own.Team], rq, newAnswer(gc.Writer, rq.Stream, &ca.buffers))
}

// runRequest admits a request, runs it and answers it.
func (ca *Caller) runRequest(gc *gin.Context, te conf.Team, rq *relay.Request, an *answer) {
	defer an.release()
	release, err := ca.admit(rq.Team, te.Limits)
	if err != nil {
		ca.abortWithError(gc, err)
		return
	}
	defer release()
	metricRequests.Add(rq.Team, 1)
	start, stopping := time.Now(), ca.op.Stopping()
	if rq.Key != "" {
		err = ca.op.Relay.RunClaimed(gc.Request.Context(), rq, ca.op.Place.Name, an)
	} else {
		err = ca.op.Relay.Run(gc.Request.Context(), rq, an)
	}
	ca.op.Logger.Info().Str("request", rq.ID).Str("team", rq.Team).Dur("took", time.Since(start)).
		Bool("answered", err == nil).Bool("begun_in_stop", stopping).Msg("request_ended")
	switch {
	case err == nil:
	case an.Begun():
		an.abort(gc.Request, err)
	default:
		ca.abortWithError(gc, err)
	}
}

// parseCompletion reads and validates a completion request.
func (ca *Caller) parseCompletion(gc *gin.Context, ho *memory.Hold, vi *config.View, team string) (*relay.Request, error) {
	due, body, err := ca.readDeadlineAndBody(gc, ho, vi.Tree.DeploymentOrDefault())
	if err != nil {
		return nil, err
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.New(fault.Invalid, "the body is not a JSON object: "+err.Error(), "send a JSON object")
	}
	av, ad, err := requestedAdapter(fields, vi, team)
	if err != nil {
		return nil, err
	}
	stream := false
	if raw, ok := fields["stream"]; ok && json.Unmarshal(raw, &stream) != nil {
		return nil, fault.New(fault.Invalid, "stream is neither true nor false", "send true or false")
	}
	engineBody, err := json.Marshal(deleteKeys(fields, reservedKeys))
	if err != nil {
		return nil, errors.Wrap(err, "caller: encode body")
	}
	te := vi.Tree.Teams[team]
	return &relay.Request{
		ID: gc.GetString(requestIDKey), Team: team, Adapter: av, Model: ad.Model,
		Method: http.MethodPost, Path: gc.Request.URL.Path, ContentType: jsonType, Body: engineBody,
		Stream: stream, Urgency: te.Urgency.Level(), Weights: te.Weights, Region: ca.op.Place.Region,
		Deadline: due, RetryPercent: vi.Tree.DeploymentOrDefault().RetryPercent,
	}, nil
}

// requestedAdapter returns the adapter and the version that the field model names. It returns an
// error if they do not exist or the team may not call them.
func requestedAdapter(fields map[string]json.RawMessage, vi *config.View, team string) (conf.AdapterVersion, conf.Adapter, error) {
	name := ""
	if err := json.Unmarshal(fields["model"], &name); err != nil {
		return conf.AdapterVersion{}, conf.Adapter{}, fault.New(fault.Invalid, "model is missing or not a string",
			"name the adapter and its version, as in batch-sheet@3")
	}
	av, err := conf.ParseAdapterVersion(name)
	if err != nil {
		return av, conf.Adapter{}, err
	}
	ad, ok := vi.Tree.Adapters[av.Adapter]
	if !ok || !slices.Contains(ad.Versions, av.Version) {
		return av, ad, fault.New(fault.NotFound, "adapter "+av.String()+" does not exist", "see GET /v1/models for those you may call")
	}
	if !vi.Tree.Teams[team].MayCallAdapter(av) {
		return av, ad, fault.New(fault.Forbidden, "team "+team+" may not call adapter "+av.String(),
			"ask an operator to add it to the team's adapters")
	}
	return av, ad, nil
}

// deleteKeys deletes the keys from fields, whatever their case, and returns fields. Engines may
// ignore case, and must not read a value that the system did not set.
func deleteKeys(fields map[string]json.RawMessage, keys []string) map[string]json.RawMessage {
	for name := range fields {
		for _, key := range keys {
			if strings.EqualFold(name, key) {
				delete(fields, name)
			}
		}
	}
	return fields
}

// readDeadlineAndBody returns the deadline and the body of a request.
func (ca *Caller) readDeadlineAndBody(gc *gin.Context, ho *memory.Hold, de conf.Deployment) (time.Time, []byte, error) {
	due, err := deadline(gc, de)
	if err != nil {
		return due, nil, err
	}
	body, err := ca.readBody(gc, ho, de.BodyBytes, due)
	return due, body, err
}

// readBody reads the body of a request, or returns an error if it is longer than the limit, does not arrive by
// the deadline or has no room in memory.
func (ca *Caller) readBody(gc *gin.Context, ho *memory.Hold, limit int, due time.Time) ([]byte, error) {
	ctx, cancel := context.WithDeadline(gc.Request.Context(), due)
	defer cancel()
	data, err := ho.Read(ctx, &ca.memory, gc.Writer, gc.Request, int64(limit))
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, fault.New(fault.TooLarge, "the body is longer than the limit", "shorten it or ask an operator for a higher deployment.body_bytes")
	case errors.Is(err, memory.ErrLate):
		return nil, fault.New(fault.Unavailable, "the body did not arrive in time", "send the request again").WithRetryAfter(notReadyRetryAfter)
	case errors.Is(err, memory.ErrBroken):
		return nil, fault.New(fault.Invalid, "the body could not be read", "send it whole")
	}
	return data, err
}
