package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/sched"
)

const (
	// BootHeader carries the engine's boot in each of its answers.
	BootHeader     = "X-Engine-Boot"
	requestHeader  = "X-Request-Id"
	priorityHeader = "X-Priority"
	keyHeader      = "Idempotency-Key"

	orderTimeout = 10 * time.Second
	readMax      = 1 << 20
)

// Order is the body of a load or unload order.
type Order struct {
	Handle  string `json:"handle"`
	Adapter string `json:"adapter"`
	Version int    `json:"version"`
	Fence   uint64 `json:"fence"`
}

// Held is a handle at the engine.
type Held struct {
	Handle  string `json:"handle"`
	Running int    `json:"running"`
	Ready   bool   `json:"ready"`
}

// Inventory is what the engine holds.
type Inventory struct {
	Boot  string `json:"boot"`
	Fence uint64 `json:"fence"`
	Held  []Held `json:"held"`
}

// Client talks to one backend server.
type Client struct {
	http *http.Client
	base string
}

// NewClient returns a client for a backend server's URL.
func NewClient(hc *http.Client, base string) *Client {
	return &Client{http: hc, base: base}
}

// Base returns the backend server's URL.
func (cl *Client) Base() string { return cl.base }

// Load orders the engine to load an adapter and returns the result with the engine's boot.
func (cl *Client) Load(ctx context.Context, or Order) (sched.Result, string) {
	status, boot, err := cl.order(ctx, "/adapters/load", or)
	switch {
	case err != nil:
		return sched.Lost, boot
	case status == http.StatusOK:
		return sched.Done, boot
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return sched.StoreBusy, boot
	case status == http.StatusInternalServerError:
		return sched.Rejected, boot
	case status > http.StatusInternalServerError && status != http.StatusInsufficientStorage:
		return sched.Lost, boot
	}
	return sched.Rejected, boot
}

// Unload orders the engine to drop a handle and returns the result with the engine's boot.
func (cl *Client) Unload(ctx context.Context, or Order) (sched.Result, string) {
	status, boot, err := cl.order(ctx, "/adapters/unload", or)
	switch {
	case err != nil:
		return sched.Lost, boot
	case status == http.StatusOK, status == http.StatusNotFound:
		return sched.Done, boot
	}
	return sched.Rejected, boot
}

// order posts an order.
func (cl *Client) order(ctx context.Context, path string, or Order) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	data, err := json.Marshal(or)
	if err != nil {
		return 0, "", errors.Wrap(err, "client: encode order")
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.base+path, bytes.NewReader(data))
	if err != nil {
		return 0, "", errors.Wrap(err, "client: build order")
	}
	resp, err := cl.http.Do(rq)
	if err != nil {
		return 0, "", errors.Wrap(err, "client: send order")
	}
	defer discard(resp)
	return resp.StatusCode, resp.Header.Get(BootHeader), nil
}

// Inspect asks the engine what it holds.
func (cl *Client) Inspect(ctx context.Context) (Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	iv := Inventory{}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.base+"/adapters", nil)
	if err != nil {
		return iv, errors.Wrap(err, "client: build inspection")
	}
	resp, err := cl.http.Do(rq)
	if err != nil {
		return iv, errors.Wrap(err, "client: inspect")
	}
	defer discard(resp)
	if resp.StatusCode != http.StatusOK {
		return iv, errors.Newf("client: inspect answered %d; the engine may be starting", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, readMax)).Decode(&iv)
	return iv, errors.Wrap(err, "client: decode inventory")
}

// Cancel tells the engine to stop a request, returns the engine's boot and fails
// unless the engine says that it has.
func (cl *Client) Cancel(ctx context.Context, attempt string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.base+"/cancel/"+url.PathEscape(attempt), nil)
	if err != nil {
		return "", errors.Wrap(err, "client: build cancel")
	}
	resp, err := cl.http.Do(rq)
	if err != nil {
		return "", errors.Wrap(err, "client: cancel")
	}
	defer discard(resp)
	boot := resp.Header.Get(BootHeader)
	if resp.StatusCode != http.StatusOK {
		return boot, errors.Newf("client: cancel answered %d", resp.StatusCode)
	}
	return boot, nil
}

// discard reads the rest of a short answer, so that its connection is used again.
func discard(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, readMax))
	_ = resp.Body.Close()
}
