package client

import (
	"bytes"
	"context"
	"net/http"
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

// Forward sends a request to the backend server and returns its answer. The caller closes the answer's
// body. The handle identifies the adapter at the engine and is empty for a plain service.
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
	rq.Header.Set(requestIDHeader, di.Attempt)
	// The engine runs higher priorities first, so the urgency is sent as it is.
	rq.Header.Set(priorityHeader, strconv.Itoa(di.Urgency))
	if di.Key != "" {
		rq.Header.Set(idempotencyKeyHeader, di.Key)
	}
	resp, err := cl.http.Do(rq)
	return resp, errors.Wrap(err, "client: forward")
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
