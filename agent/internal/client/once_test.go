package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/bambooladder/bambooladder/core/wire"
)

// A request that was sent must not be sent again by the HTTP library, not even if the connection closes
// before the answer begins: it may have run.
func TestForwardSendsARequestOnceThoughItsConnectionCloses(t *testing.T) {
	for _, di := range []*wire.Dispatch{
		{Attempt: "a", Method: http.MethodPost, Path: "/closes", Key: "key-1", Body: []byte("{}")},
		{Attempt: "a", Method: http.MethodPost, Path: "/closes", Key: "key-1"},
		{Attempt: "a", Method: http.MethodGet, Path: "/closes"},
		{Attempt: "a", Method: http.MethodGet, Path: "/closes", Body: []byte("{}")},
	} {
		runs := atomic.Int64{}
		sv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) {
			if rq.URL.Path != "/closes" {
				return
			}
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}))
		cl := NewClient(&http.Client{Transport: &http.Transport{}}, sv.URL)
		resp, err := cl.Forward(context.Background(), &wire.Dispatch{Attempt: "first", Method: http.MethodGet, Path: "/sound"}, "")
		if err != nil {
			t.Fatal(err)
		}
		discardBody(resp)
		if resp, err = cl.Forward(context.Background(), di, ""); err == nil {
			t.Errorf("a request without an answer got the status %d", resp.StatusCode)
			discardBody(resp)
		}
		sv.Close()
		if runs.Load() != 1 {
			t.Errorf("%s with the key %q ran %d times, want once", di.Method, di.Key, runs.Load())
		}
	}
}
