package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/sched"
)

const (
	// BootHeader is the header of each engine answer that identifies the engine process.
	BootHeader = "X-Engine-Boot"
	// SoftwareHeader is the header of engine answers that names the version of the engine's software.
	SoftwareHeader = "X-Engine-Software"
	// requestIDHeader carries the attempt ID: to the engine, each attempt is a request of its own.
	requestIDHeader      = "X-Request-Id"
	priorityHeader       = "X-Priority"
	idempotencyKeyHeader = "Idempotency-Key"

	// orderTimeout bounds an order, an inspection and a cancellation.
	orderTimeout = 10 * time.Second
	// bodyBytesMax bounds what is read of the answer to an order, an inspection or a cancellation.
	bodyBytesMax = 1 << 20
)

// Order is the body of a load or unload order.
type Order struct {
	// Handle identifies the adapter version at the engine; it is never reused.
	Handle  string `json:"handle"`
	Adapter string `json:"adapter"`
	Version int    `json:"version"`
	// Fence is the fencing token of the order.
	Fence uint64 `json:"fence"`
}

// Held is a handle that the engine knows, with the number of its requests that run or wait at the
// engine. Ready is true once the adapter is loaded.
type Held struct {
	Handle  string `json:"handle"`
	Running int    `json:"running"`
	Ready   bool   `json:"ready"`
}

// Inventory is the engine's answer to an inspection: its process, the highest fencing token that it
// has seen and its handles.
type Inventory struct {
	Boot  string `json:"boot"`
	Fence uint64 `json:"fence"`
	Held  []Held `json:"held"`
}

// Client sends requests to one backend server.
type Client struct {
	http    *http.Client
	baseURL string
	// orders counts orders, inspections and cancellations, each of which has an ID of its own.
	orders atomic.Int64
	// repeatsIDs is true once an answer has repeated the ID of its request, leavesOutIDs once one has not.
	repeatsIDs, leavesOutIDs atomic.Bool
}

// NewClient returns a client for a backend server's URL, which alone may use the transport.
func NewClient(tr *http.Transport, baseURL string) *Client {
	return &Client{http: reply.NewClient(tr), baseURL: baseURL}
}

// BaseURL returns the backend server's URL.
func (cl *Client) BaseURL() string { return cl.baseURL }

// orderID returns the ID of the next order, inspection or cancellation.
func (cl *Client) orderID() string { return "order-" + strconv.FormatInt(cl.orders.Add(1), 10) }

// Load orders the engine to load an adapter. It returns the result and the boot ID of the engine
// process that answered. By the status of the answer, the engine
//   - has loaded the adapter: 200
//   - found the weight store busy: 429, 503
//   - rejected the order: 500, 507 and any other below 500
//   - may still carry it out: all others, or no answer
func (cl *Client) Load(ctx context.Context, or Order) (sched.Result, string) {
	status, boot, err := cl.postOrder(ctx, "/adapters/load", or)
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

// Unload orders the engine to unload a handle. It returns the result and the boot ID of the engine
// process that answered. A handle that the engine does not know counts as unloaded. Any other status
// but 200 counts as Rejected, and an error as Lost.
func (cl *Client) Unload(ctx context.Context, or Order) (sched.Result, string) {
	status, boot, err := cl.postOrder(ctx, "/adapters/unload", or)
	switch {
	case err != nil:
		return sched.Lost, boot
	case status == http.StatusOK, status == http.StatusNotFound:
		return sched.Done, boot
	}
	return sched.Rejected, boot
}

// postOrder sends an order and returns the status code and the boot ID of the engine process that
// answered.
func (cl *Client) postOrder(ctx context.Context, path string, or Order) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	data, err := json.Marshal(or)
	if err != nil {
		return 0, "", errors.Wrap(err, "client: encode order")
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return 0, "", errors.Wrap(err, "client: build order")
	}
	resp, err := cl.do(rq, cl.orderID())
	if err != nil {
		return 0, "", errors.Wrap(err, "client: send order")
	}
	defer discardBody(resp)
	return resp.StatusCode, resp.Header.Get(BootHeader), nil
}

// Inspect returns the engine's process, fencing token and handles. It fails unless the engine answers
// with status 200 and a valid inventory.
func (cl *Client) Inspect(ctx context.Context) (Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	iv := Inventory{}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.baseURL+"/adapters", nil)
	if err != nil {
		return iv, errors.Wrap(err, "client: build inspection")
	}
	resp, err := cl.do(rq, cl.orderID())
	if err != nil {
		return iv, errors.Wrap(err, "client: inspect")
	}
	defer discardBody(resp)
	if resp.StatusCode != http.StatusOK {
		return iv, errors.Newf("client: the engine answered the inspection with status %d; it may be starting", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, bodyBytesMax)).Decode(&iv)
	return iv, errors.Wrap(err, "client: decode inventory")
}

// Cancel asks the engine to stop a request. It returns the boot ID of the engine process that answered,
// and an error unless the engine has confirmed that it stopped the request.
func (cl *Client) Cancel(ctx context.Context, attempt string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.baseURL+"/cancel/"+url.PathEscape(attempt), nil)
	if err != nil {
		return "", errors.Wrap(err, "client: build cancel")
	}
	resp, err := cl.do(rq, cl.orderID())
	if err != nil {
		return "", errors.Wrap(err, "client: cancel")
	}
	defer discardBody(resp)
	boot := resp.Header.Get(BootHeader)
	if resp.StatusCode != http.StatusOK {
		return boot, errors.Newf("client: the engine answered the cancellation with status %d", resp.StatusCode)
	}
	return boot, nil
}

// discardBody reads the rest of a short answer, so that its connection can be reused, and closes it.
func discardBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, bodyBytesMax))
	_ = resp.Body.Close()
}
