package reply

import (
	"context"
	"net"
	"net/http"

	"github.com/bambooladder/bambooladder/core/conf"
)

// NewClient returns an HTTP client with a transport, which must not be used otherwise. Its connections are those of this package,
// and the heads that it reads have conf.HeadBytesMax bytes at most.
func NewClient(tr *http.Transport) *http.Client {
	dial := tr.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	tr.MaxResponseHeaderBytes = conf.HeadBytesMax
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
	return &http.Client{Transport: tr}
}
