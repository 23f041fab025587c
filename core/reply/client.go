package reply

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/bambooladder/bambooladder/core/conf"
)

// NewClient returns an HTTP client with a transport, which must not be used otherwise. Its connections are those of this package,
// and the heads that it reads have conf.HeadBytesMax bytes at most, all interim ones of an answer together too. It fails with ErrInvalid if what comes is no answer.
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
	return &http.Client{Transport: &transport{tr}}
}

// transport checks the heads of the answers that it returns.
type transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper. A connection with an invalid head is closed: where the next answer begins is not known.
func (tr *transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	nc, heads := net.Conn(nil), interimHeads{}
	trace := &httptrace.ClientTrace{
		GotConn:        func(gi httptrace.GotConnInfo) { nc = gi.Conn },
		Got1xxResponse: func(_ int, hd textproto.MIMEHeader) error { return heads.add(hd) },
	}
	resp, err := tr.Transport.RoundTrip(rq.WithContext(httptrace.WithClientTrace(rq.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		_ = nc.Close()
		return nil, err
	}
	return resp, nil
}
