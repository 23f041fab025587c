package reply

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/conf"
)

// NewClient returns an HTTP client that uses a transport, which it changes and which must not be used otherwise. It opens connections
// of type Conn, reads heads of up to conf.HeadBytesMax bytes, and fails with ErrInvalid if a response is invalid.
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

// transport returns valid responses only.
type transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper. It closes the connection of an invalid response, as it is not known where the next one
// begins.
func (tr *transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	nc := net.Conn(nil)
	trace := &httptrace.ClientTrace{GotConn: func(gi httptrace.GotConnInfo) {
		nc = gi.Conn
		if co, ok := nc.(*Conn); ok {
			co.beginHeads()
		}
	}}
	resp, err := tr.Transport.RoundTrip(rq.WithContext(httptrace.WithClientTrace(rq.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp, nc); err != nil {
		_ = resp.Body.Close()
		_ = nc.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// chunkedBody checks the trailer at the end of a body.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (cb *chunkedBody) Read(buf []byte) (int, error) {
	count, err := cb.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		if trailerErr := CheckTrailer(cb.resp.Trailer); trailerErr != nil {
			return count, trailerErr
		}
	}
	return count, err
}

// checkResponse returns ErrInvalid unless a response is valid. The bytes of one that was encrypted are not known.
func checkResponse(resp *http.Response, nc net.Conn) error {
	if co, ok := nc.(*Conn); ok {
		return co.endHeads()
	}
	if !IsFinalStatus(resp.StatusCode) {
		return invalid("status line", []byte(resp.Status))
	}
	for name := range resp.Header {
		if !isFieldName(name) {
			return invalid("field", []byte(name))
		}
	}
	return nil
}
