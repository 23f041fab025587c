package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/fault"
)

const (
	callTimeout = 15 * time.Second
	bytesMax    = 64 << 20
	retriesMax  = 5
	retryWait   = time.Second
)

// Remote calls one entry node.
type Remote struct {
	base  string
	token string
}

// NewRemote returns a client of an administration address with a bearer token.
func NewRemote(base, token string) *Remote {
	return &Remote{base: base, token: token}
}

// Settings returns the accepted settings.
func (re *Remote) Settings(ctx context.Context) (admin.Settings, error) {
	body := admin.Settings{}
	err := re.call(ctx, http.MethodGet, "/admin/v1/settings", nil, &body)
	return body, err
}

// History returns what became of recent changes.
func (re *Remote) History(ctx context.Context) (admin.History, error) {
	body := admin.History{}
	err := re.call(ctx, http.MethodGet, "/admin/v1/changes", nil, &body)
	return body, err
}

// Status returns which settings are in force on which nodes.
func (re *Remote) Status(ctx context.Context) (admin.Status, error) {
	body := admin.Status{}
	err := re.call(ctx, http.MethodGet, "/admin/v1/status", nil, &body)
	return body, err
}

// Propose sends a change, and sends it again under the same id while its outcome is not known.
func (re *Remote) Propose(ctx context.Context, ch admin.Change) (admin.Outcome, error) {
	body := admin.Outcome{}
	var err error
	for range retriesMax {
		err = re.call(ctx, http.MethodPost, "/admin/v1/changes", ch, &body)
		fe := &fault.Error{}
		if !errors.As(err, &fe) || fe.Kind != fault.Unavailable {
			return body, err
		}
		time.Sleep(retryWait)
	}
	return body, err
}

// call sends one request and reads its answer; a conflict or an invalid change is an answer, too.
func (re *Remote) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "remote: encode request")
	}
	rq, err := http.NewRequestWithContext(ctx, method, re.base+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "remote: build request")
	}
	rq.Header.Set("Authorization", "Bearer "+re.token)
	rq.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(rq)
	if err != nil {
		return fault.New(fault.Unavailable, "the entry node did not answer: "+err.Error(), "check --admin and that the node runs")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, bytesMax))
	if err != nil {
		return errors.Wrap(err, "remote: read answer")
	}
	failure := admin.Failure{}
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(answer, &failure) == nil && failure.Message != "" {
		return fault.New(fault.Kind(failure.Kind), failure.Message, failure.Remedy)
	}
	return errors.Wrap(json.Unmarshal(answer, out), "remote: decode answer")
}
