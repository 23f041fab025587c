package direct

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bambooladder/bambooladder/core/fault"
)

// readBody reads the whole request body, up to the operators' limit, until the context ends.
func (rq *request) readBody(ctx context.Context, hr *http.Request) error {
	limit := rq.bodyBytesMax
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if hr.ContentLength > limit {
		return fault.New(fault.TooLarge, "the body is larger than allowed", "send a smaller body")
	}
	if hr.ContentLength == 0 {
		return nil
	}
	stop := context.AfterFunc(ctx, func() {
		// Without a deadline on the connection, the handler waits until the caller sends more.
		_ = http.NewResponseController(rq.wr).SetReadDeadline(time.Now())
	})
	data, err := io.ReadAll(io.LimitReader(hr.Body, limit+1))
	stopped := stop()
	switch {
	case stopsNode(ctx):
		return stoppingError()
	case !stopped:
		return fault.New(fault.Unavailable, "the body did not arrive in time", "send the request again").WithRetryAfter(defaultRetryAfter)
	case err != nil:
		return fault.New(fault.Invalid, "the body did not arrive whole", "send the request again")
	case int64(len(data)) > limit:
		return fault.New(fault.TooLarge, "the body is larger than allowed", "send a smaller body")
	}
	rq.body = data
	return nil
}
