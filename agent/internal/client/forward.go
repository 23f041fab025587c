package client

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/wire"
)

// Forward sends a request to the backend server and returns its answer, whose body the caller closes.
func (cl *Client) Forward(ctx context.Context, di *wire.Dispatch, handle string) (*http.Response, error) {
	body := di.Body
	if handle != "" {
		body = engineBody(di, handle)
	}
	rq, err := http.NewRequestWithContext(ctx, di.Method, cl.base+di.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "client: build request")
	}
	rq.Header.Set("Content-Type", di.ContentType)
	rq.Header.Set(requestHeader, di.Attempt)
	rq.Header.Set(priorityHeader, strconv.Itoa(di.Urgency))
	if di.Key != "" {
		rq.Header.Set(keyHeader, di.Key)
	}
	resp, err := cl.http.Do(rq)
	return resp, errors.Wrap(err, "client: forward")
}

// engineBody puts the handle and the place to resume before the other keys of the body.
func engineBody(di *wire.Dispatch, handle string) []byte {
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
