package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const bodyMax = 1 << 20

// Release is one recorded call.
type Release struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Service records each POST it runs and never refuses a doubled one.
type Service struct {
	mu       sync.Mutex
	name     string
	delay    time.Duration
	releases []Release
}

// New returns a service that takes a delay for each call.
func New(name string, delay time.Duration) *Service {
	return &Service{name: name, delay: delay}
}

// Releases returns what was recorded.
func (sv *Service) Releases() []Release {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]Release(nil), sv.releases...)
}

// Handler returns the service's HTTP interface.
func (sv *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(wr http.ResponseWriter, _ *http.Request) {
		reply(wr, http.StatusOK, map[string]any{"service": sv.name, "releases": len(sv.Releases())})
	})
	mux.HandleFunc("GET /recorded", func(wr http.ResponseWriter, _ *http.Request) {
		reply(wr, http.StatusOK, sv.Releases())
	})
	mux.HandleFunc("POST /", func(wr http.ResponseWriter, rq *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(wr, rq.Body, bodyMax))
		if err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		re := sv.record(rq.URL.Path, rq.Header.Get("Idempotency-Key"), string(data))
		time.Sleep(sv.delay)
		reply(wr, http.StatusCreated, re)
	})
	return mux
}

// record keeps a call.
func (sv *Service) record(path, key, body string) Release {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	re := Release{Number: len(sv.releases) + 1, Path: path, Key: key, Body: body}
	sv.releases = append(sv.releases, re)
	return re
}

// reply answers with JSON.
func reply(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(value)
}
