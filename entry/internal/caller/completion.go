package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/entry/internal/config"
	"github.com/bambooladder/bambooladder/entry/internal/relay"
)

const jsonType = "application/json"

// reservedKeys are set by the system alone.
var reservedKeys = []string{"model", "resume_tokens"}

// serveCompletion handles a completion.
func (ca *Caller) serveCompletion(gc *gin.Context) {
	vi := ca.op.Settings.View()
	ho := holder(gc)
	rq, err := ca.completion(gc, vi, ho.Team)
	if err != nil {
		ca.fail(gc, err)
		return
	}
	ca.serve(gc, vi.Tree.Teams[ho.Team], rq, newAnswer(gc.Writer, rq.Stream))
}

// serve admits a request, runs it and answers.
func (ca *Caller) serve(gc *gin.Context, te conf.Team, rq *relay.Request, an *answer) {
	leave, err := ca.admit(rq.Team, te.Limits)
	if err != nil {
		ca.fail(gc, err)
		return
	}
	defer leave()
	metricRequests.Add(rq.Team, 1)
	start := time.Now()
	if rq.Key != "" {
		err = ca.op.Relay.RunClaimed(gc.Request.Context(), rq, ca.op.Place.Name, an)
	} else {
		err = ca.op.Relay.Run(gc.Request.Context(), rq, an)
	}
	ca.op.Logger.Info().Str("request", rq.ID).Str("team", rq.Team).Dur("took", time.Since(start)).
		Bool("answered", err == nil).Msg("request_ended")
	switch {
	case err == nil:
	case an.Begun():
		an.breakOff(err)
	default:
		ca.fail(gc, err)
	}
}

// completion reads and checks a completion.
func (ca *Caller) completion(gc *gin.Context, vi *config.View, team string) (*relay.Request, error) {
	due, body, err := intake(gc, vi.Tree.DeploymentOrDefault())
	if err != nil {
		return nil, err
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.New(fault.Invalid, "the body is not a JSON object: "+err.Error(), "send a JSON object")
	}
	av, ad, err := adapterOf(fields, vi, team)
	if err != nil {
		return nil, err
	}
	stream := false
	if raw, ok := fields["stream"]; ok && json.Unmarshal(raw, &stream) != nil {
		return nil, fault.New(fault.Invalid, "stream is neither true nor false", "send true or false")
	}
	rest, err := json.Marshal(without(fields, reservedKeys))
	if err != nil {
		return nil, errors.Wrap(err, "caller: encode body")
	}
	te := vi.Tree.Teams[team]
	return &relay.Request{
		ID: gc.GetString(requestKey), Team: team, Adapter: av, Model: ad.Model,
		Method: http.MethodPost, Path: gc.Request.URL.Path, ContentType: jsonType, Body: rest,
		Stream: stream, Urgency: te.Urgency.Rank(), Weights: te.Weights, Region: ca.op.Place.Region,
		Deadline: due, RetryPercent: vi.Tree.DeploymentOrDefault().RetryPercent,
	}, nil
}

// adapterOf returns the adapter and version that a body names and the team may call.
func adapterOf(fields map[string]json.RawMessage, vi *config.View, team string) (conf.AdapterVersion, conf.Adapter, error) {
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

// without drops keys under any spelling of case, so that no engine reads one the system did not set.
func without(fields map[string]json.RawMessage, keys []string) map[string]json.RawMessage {
	for name := range fields {
		for _, key := range keys {
			if strings.EqualFold(name, key) {
				delete(fields, name)
			}
		}
	}
	return fields
}

// intake returns when the answer is due and the body.
func intake(gc *gin.Context, de conf.Deployment) (time.Time, []byte, error) {
	due, err := deadline(gc, de)
	if err != nil {
		return due, nil, err
	}
	body, err := readBody(gc, de.BodyBytes)
	return due, body, err
}

// readBody reads a body up to a limit.
func readBody(gc *gin.Context, limit int) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(gc.Writer, gc.Request.Body, int64(limit)))
	tooLong := &http.MaxBytesError{}
	if errors.As(err, &tooLong) {
		return nil, fault.New(fault.TooLarge, "the body is longer than the limit", "shorten it or ask an operator for a higher deployment.body_bytes")
	}
	if err != nil {
		return nil, fault.New(fault.Invalid, "the body could not be read", "send it whole")
	}
	return data, nil
}
