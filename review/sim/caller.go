package sim

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is a caller's request.
type Call struct {
	ID, Method, Host, Path, Body string
	// Model is MODEL/ADAPTER, empty for a plain service; Prompt and Output are its tokens.
	Model          string
	Prompt, Output int
	// Deadline is how long the caller waits for the whole answer, Patience how long for the first event
	// and between two, zero for no limit.
	Deadline, Patience time.Duration
}

// Result is what a caller saw.
type Result struct {
	Call   Call
	Status int
	// Whole is true if the answer ended as it should.
	Whole bool
	// GaveUp is true if the caller has left because its deadline or patience ended.
	GaveUp bool
	Err    error
	Sent   time.Time
	Ended  time.Time
	Server string
}

// errPatience means that a caller has waited too long for an event.
var errPatience = errors.New("sim: the caller has lost patience")

// Send sends a call on a new connection and waits for its answer.
func Send(ctx context.Context, re *Record, address string, ca *Call) *Result {
	ch := NewChannel(address)
	defer ch.Close()
	return ch.Send(ctx, re, ca)
}

// Channel is a connection to an entry node that a caller keeps. It is created by NewChannel.
type Channel struct {
	address string
	tr      *http.Transport
}

// NewChannel returns a channel to an address, which is opened by the first call.
func NewChannel(address string) *Channel {
	return &Channel{address: address, tr: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxConnsPerHost: 1,
	}}
}

// Close closes the channel.
func (ch *Channel) Close() { ch.tr.CloseIdleConnections() }

// Send sends a call and waits for its answer.
func (ch *Channel) Send(ctx context.Context, re *Record, ca *Call) *Result {
	rt := &Result{Call: *ca, Sent: time.Now()}
	re.Printf("caller sends %s to %s: %s %s %s, %d bytes", ca.ID, ch.address, ca.Method, ca.Path, ca.Model, len(ca.Body))
	rt.exchange(ctx, ch)
	rt.Ended = time.Now()
	re.Printf("caller of %s sees status %d, whole %t, gave up %t, after %.3f s, error %v", ca.ID, rt.Status, rt.Whole, rt.GaveUp, rt.Ended.Sub(rt.Sent).Seconds(), rt.Err)
	return rt
}

// exchange sends the request and reads the answer.
func (rt *Result) exchange(ctx context.Context, ch *Channel) {
	ca := &rt.Call
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadline := time.AfterFunc(ca.Deadline, func() { cancel(context.DeadlineExceeded) })
	defer deadline.Stop()
	rq, err := http.NewRequestWithContext(ctx, ca.Method, "http://"+ch.address+ca.Path, strings.NewReader(ca.Body))
	if err != nil {
		rt.Err = err
		return
	}
	// Without GetBody, the library cannot send the call again on its own.
	rq.GetBody = nil
	ca.setHeaders(rq)
	patience := time.NewTimer(time.Hour)
	if ca.Patience > 0 {
		patience = time.AfterFunc(ca.Patience, func() { cancel(errPatience) })
	}
	defer patience.Stop()
	resp, err := ch.tr.RoundTrip(rq)
	if err == nil {
		rt.Status, rt.Server = resp.StatusCode, resp.Header.Get(headerSeal)
		err = readBody(resp, func() {
			if ca.Patience > 0 {
				patience.Reset(ca.Patience)
			}
		})
	}
	cause := context.Cause(ctx)
	rt.Err, rt.Whole, rt.GaveUp = err, err == nil, err != nil && (errors.Is(cause, errPatience) || errors.Is(cause, context.DeadlineExceeded))
}

// setHeaders sets the headers of the request.
func (ca *Call) setHeaders(rq *http.Request) {
	rq.Host = ca.Host
	rq.Header.Set(headerRequestID, ca.ID)
	rq.Header.Set("X-Bambooladder-Deadline-Ms", strconv.FormatInt(ca.Deadline.Milliseconds(), 10))
	if ca.Model != "" {
		rq.Header.Set("X-Bambooladder-Model", ca.Model)
		rq.Header.Set("X-Bambooladder-Token-Count", fmt.Sprintf("%d,%d", ca.Prompt, ca.Output))
	}
}

// readBody reads the body of an answer and calls a function for each part that arrives.
func readBody(resp *http.Response, arrived func()) error {
	buf := make([]byte, 4096)
	for {
		_, err := resp.Body.Read(buf)
		if errors.Is(err, io.EOF) {
			return resp.Body.Close()
		}
		if err != nil {
			return errors.Join(err, resp.Body.Close())
		}
		arrived()
	}
}
