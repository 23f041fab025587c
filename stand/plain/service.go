package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	bodyBytesMax = 1 << 20
	// requestHeader carries the ID of the request, which every answer repeats.
	requestHeader = "X-Request-Id"
)

// Call is a recorded POST request.
type Call struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
	// Key is the idempotency key of the call.
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Service records each POST request. It doesn't detect duplicates: two requests with the same
// idempotency key are recorded as two calls.
type Service struct {
	mu    sync.Mutex
	name  string
	delay time.Duration
	calls []Call
}

// New returns a service that answers each POST request after a delay.
func New(name string, delay time.Duration) *Service {
	return &Service{name: name, delay: delay}
}

// RecordedCalls returns the recorded calls.
func (sv *Service) RecordedCalls() []Call {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]Call(nil), sv.calls...)
}

// Handler returns the service's HTTP interface.
func (sv *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	// The answer's key releases is the number of recorded calls, because the simulated ledger records
	// the releases sent to it.
	mux.HandleFunc("GET /", func(wr http.ResponseWriter, _ *http.Request) {
		writeJSON(wr, http.StatusOK, map[string]any{"service": sv.name, "releases": len(sv.RecordedCalls())})
	})
	mux.HandleFunc("GET /recorded", func(wr http.ResponseWriter, _ *http.Request) {
		writeJSON(wr, http.StatusOK, sv.RecordedCalls())
	})
	mux.HandleFunc("POST /", func(wr http.ResponseWriter, rq *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(wr, rq.Body, bodyBytesMax))
		if err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		ca := sv.record(rq.URL.Path, rq.Header.Get("Idempotency-Key"), string(data))
		time.Sleep(sv.delay)
		writeJSON(wr, http.StatusCreated, ca)
	})
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if id := rq.Header.Get(requestHeader); id != "" {
			wr.Header().Set(requestHeader, id)
		}
		mux.ServeHTTP(wr, rq)
	})
}

// record appends a call and gives it the next number.
func (sv *Service) record(path, key, body string) Call {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	ca := Call{Number: len(sv.calls) + 1, Path: path, Key: key, Body: body}
	sv.calls = append(sv.calls, ca)
	return ca
}

// writeJSON answers with a status and a value as JSON.
func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(value)
}
