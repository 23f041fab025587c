package direct

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/entry/internal/memory"
)

// callersShare is the share of the process's memory that is the default budget for its callers. The rest is for the
// node itself, the connections, and garbage: the soft limit of the runtime is at 0.7.
const callersShare = 0.4

// callersBytes returns the budget for callers, in bytes.
func (no *Node) callersBytes() int64 {
	se := &no.options.Settings
	if se.CallersHoldBytes > 0 {
		return int64(se.CallersHoldBytes)
	}
	return int64(callersShare * float64(se.MemoryMb) * conf.BytesPerMegabyte)
}

// readBody reads the whole request body, up to the operators' limit, until the context ends. It refuses a body for which
// the node has no memory before it reads it.
func (rq *request) readBody(ctx context.Context, hr *http.Request) error {
	limit := rq.bodyBytesMax
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	data, err := rq.hold.Read(ctx, &rq.no.memory, rq.wr, hr, limit)
	switch {
	case stopsNode(ctx):
		return rq.no.stoppingError()
	case errors.Is(err, memory.ErrTooLarge):
		return fault.New(fault.TooLarge, "the body is larger than allowed", "send a smaller body")
	case errors.Is(err, memory.ErrLate):
		return fault.New(fault.Unavailable, "the body did not arrive in time", "send the request again").WithRetryAfter(defaultRetryAfter)
	case errors.Is(err, memory.ErrBroken):
		return fault.New(fault.Invalid, "the body did not arrive whole", "send the request again")
	}
	rq.body = data
	return err
}
