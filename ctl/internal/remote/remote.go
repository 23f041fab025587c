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
	"github.com/bambooladder/bambooladder/core/reply"
)

const (
	// callTimeout limits the time of one request to the API.
	callTimeout = 15 * time.Second
	// answerBytesMax limits the bytes that are read of one answer.
	answerBytesMax = 64 << 20
	// attemptsMax is the number of times that a change is sent at most, including the first.
	attemptsMax = 5
	// retryDelay is the pause after each attempt whose outcome is not known, also the last one.
	retryDelay = time.Second
)

// Client calls the administration API of one entry node.
type Client struct {
	http    *http.Client
	baseURL string
	token   string
}

// NewClient returns a client of the API at a base URL, which authenticates with a bearer token.
func NewClient(baseURL, token string) *Client {
	return &Client{http: reply.NewClient(&http.Transport{Proxy: http.ProxyFromEnvironment}), baseURL: baseURL, token: token}
}

// Settings returns the accepted settings and their revisions.
func (cl *Client) Settings(ctx context.Context) (admin.Settings, error) {
	body := admin.Settings{}
	err := cl.call(ctx, http.MethodGet, "/admin/v1/settings", nil, &body)
	return body, err
}

// History returns the outcomes of recent changes.
func (cl *Client) History(ctx context.Context) (admin.History, error) {
	body := admin.History{}
	err := cl.call(ctx, http.MethodGet, "/admin/v1/changes", nil, &body)
	return body, err
}

// Status returns the state of the entry nodes and the settings revision in force on each.
func (cl *Client) Status(ctx context.Context) (admin.Status, error) {
	body := admin.Status{}
	err := cl.call(ctx, http.MethodGet, "/admin/v1/status", nil, &body)
	return body, err
}

// Propose sends a change and returns its outcome. If no answer comes or the entry node reports that
// it is unavailable, the outcome is not known, and Propose sends the change again with the same ID,
// up to attemptsMax times in all. An answer that breaks off leaves the outcome unknown as well, but
// is returned as an error without another attempt.
func (cl *Client) Propose(ctx context.Context, ch admin.Change) (admin.Outcome, error) {
	body := admin.Outcome{}
	var err error
	for range attemptsMax {
		err = cl.call(ctx, http.MethodPost, "/admin/v1/changes", ch, &body)
		fe := &fault.Error{}
		if !errors.As(err, &fe) || fe.Kind != fault.Unavailable {
			return body, err
		}
		time.Sleep(retryDelay)
	}
	return body, err
}

// call sends a request with the JSON of in as its body and decodes the answer into out. It
// returns a fault.Error if no answer comes or an error status comes with an admin.Failure that has a
// message. Any other answer is decoded whatever its status, because a change that is refused as a
// conflict or as invalid is answered with its outcome.
func (cl *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "remote: encode request")
	}
	rq, err := http.NewRequestWithContext(ctx, method, cl.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "remote: build request")
	}
	rq.Header.Set("Authorization", "Bearer "+cl.token)
	rq.Header.Set("Content-Type", "application/json")
	resp, err := cl.http.Do(rq)
	if err != nil {
		return fault.New(fault.Unavailable, "the entry node did not answer: "+err.Error(), "check --admin and that the node runs")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, answerBytesMax))
	if err != nil {
		return errors.Wrap(err, "remote: read answer")
	}
	failure := admin.Failure{}
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(answer, &failure) == nil && failure.Message != "" {
		return fault.New(fault.Kind(failure.Kind), failure.Message, failure.Remedy)
	}
	return errors.Wrap(json.Unmarshal(answer, out), "remote: decode answer")
}
