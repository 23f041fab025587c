package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// HTTPStore loads adapter weights over the weight store's HTTP interface.
type HTTPStore struct {
	Client *http.Client
	URL    string
}

// Fetch loads the weights of an adapter version and returns the HTTP status of the response. It
// returns 502 if there was none, or if it broke off.
func (hs HTTPStore) Fetch(ctx context.Context, adapter string, version int) int {
	url := fmt.Sprintf("%s/weights/%s/%d", hs.URL, adapter, version)
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	resp, err := hs.Client.Do(rq)
	if err != nil {
		return http.StatusBadGateway
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return http.StatusBadGateway
	}
	return resp.StatusCode
}
