package client

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/wire"
)

// sentOnce is a request body that net/http cannot send again. If a kept connection closes without an answer,
// net/http sends a GET request, or one with an idempotency key, a second time, though the first may have run.
// It does so without a body, and with any body that it can rewind.
type sentOnce struct{ *bytes.Reader }

// Close does nothing, as the body needs no release.
func (sentOnce) Close() error { return nil }

// ErrOtherAnswer means that an answer belongs to another request, or that nothing tells to which one it belongs.
var ErrOtherAnswer = errors.New("client: the answer is not known to be that of the request; look at what the server sends")

// usedConn is the connection that carried a request.
type usedConn struct {
	nc     net.Conn
	reused bool
}

// Forward sends a request to the backend server and returns its answer. The caller closes the answer's
// body. The handle identifies the adapter at the engine and is empty for a plain service. It fails with
// ErrOtherAnswer and closes the connection if the answer names another request.
func (cl *Client) Forward(ctx context.Context, di *wire.Dispatch, handle string) (*http.Response, error) {
	body := di.Body
	if handle != "" {
		body = engineBody(di, handle)
	}
	rq, err := http.NewRequestWithContext(ctx, di.Method, cl.baseURL+di.Path, sentOnce{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Wrap(err, "client: build request")
	}
	rq.ContentLength = int64(len(body))
	rq.Header.Set("Content-Type", di.ContentType)
	// The engine runs higher priorities first, so the urgency is sent as it is.
	rq.Header.Set(priorityHeader, strconv.Itoa(di.Urgency))
	if di.Key != "" {
		rq.Header.Set(idempotencyKeyHeader, di.Key)
	}
	return cl.do(rq, di.Attempt)
}

// do sends a request with an ID and returns its answer, which must be that of the request.
func (cl *Client) do(rq *http.Request, id string) (*http.Response, error) {
	rq.Header.Set(requestIDHeader, id)
	rq.Close = !cl.keepsConns()
	uc := usedConn{}
	trace := &httptrace.ClientTrace{GotConn: func(gi httptrace.GotConnInfo) { uc = usedConn{nc: gi.Conn, reused: gi.Reused} }}
	resp, err := cl.http.Do(rq.WithContext(httptrace.WithClientTrace(rq.Context(), trace)))
	if err != nil {
		return nil, errors.Wrap(err, "client: send request")
	}
	answered := resp.Header.Get(requestIDHeader)
	cl.noteID(id, answered)
	if !uc.owns(id, answered) {
		_ = resp.Body.Close()
		_ = uc.nc.Close()
		return nil, errors.Wrapf(ErrOtherAnswer, "status %d, %s %q", resp.StatusCode, requestIDHeader, answered)
	}
	return resp, nil
}

// owns reports whether an answer that names a request, or none, is that of the request with an ID. A server may send an
// answer once more where the next one of the connection is due, so an answer that names no request is believed only as
// the first one of its connection.
func (uc usedConn) owns(id, answered string) bool {
	return answered == id || answered == "" && !uc.reused
}

// keepsConns reports whether a connection may carry further requests: the server has repeated the ID of a request, and
// never sent an answer without one, which nothing tells from the answer to another request.
func (cl *Client) keepsConns() bool { return cl.repeatsIDs.Load() && !cl.leavesOutIDs.Load() }

// noteID records whether an answer names the request with an ID, or none.
func (cl *Client) noteID(id, answered string) {
	switch answered {
	case id:
		cl.repeatsIDs.Store(true)
	case "":
		cl.leavesOutIDs.Store(true)
		cl.http.CloseIdleConnections()
	}
}

// engineBody returns the body, a JSON object from which the entry node has removed the keys model and
// resume_tokens, with two keys put before the others: the model, which is the handle, and the number
// of tokens that the caller has already received, unless it is zero.
func engineBody(di *wire.Dispatch, handle string) []byte {
	// The keys, the quotes and a number take at most 48 bytes more.
	buf := bytes.NewBuffer(make([]byte, 0, len(di.Body)+len(handle)+48))
	buf.WriteString(`{"model":`)
	buf.WriteString(strconv.Quote(handle))
	if di.ResumeTokens > 0 {
		buf.WriteString(`,"resume_tokens":`)
		buf.WriteString(strconv.Itoa(di.ResumeTokens))
	}
	rest := bytes.TrimPrefix(bytes.TrimSpace(di.Body), []byte("{"))
	if !bytes.HasPrefix(bytes.TrimSpace(rest), []byte("}")) {
		buf.WriteByte(',')
	}
	buf.Write(rest)
	return buf.Bytes()
}
