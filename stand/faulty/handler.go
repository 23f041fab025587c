package faulty

import (
	"net/http"
	"strings"
	"sync"
)

// ModePath is the path before the name of a mode; a PUT request to it sets the mode.
const ModePath = "/answer_mode/"

// Handler passes the answers of another handler on in the way that its mode names.
type Handler struct {
	inner http.Handler

	mu   sync.Mutex
	mode Mode
}

// New returns a handler that changes the answers of another one.
func New(inner http.Handler, mode Mode) *Handler {
	return &Handler{inner: inner, mode: mode}
}

// SetMode sets how answers are sent from now on.
func (ha *Handler) SetMode(mode Mode) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.mode = mode
}

// Mode returns how answers are sent.
func (ha *Handler) Mode() Mode {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return ha.mode
}

// ServeHTTP sets the mode or answers a request. The request has run before a faulty answer is sent.
func (ha *Handler) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if name, ok := strings.CutPrefix(rq.URL.Path, ModePath); ok && rq.Method == http.MethodPut {
		ha.serveMode(wr, Mode(name))
		return
	}
	mode := ha.Mode()
	if mode == Sound || mode == "" {
		ha.inner.ServeHTTP(wr, rq)
		return
	}
	an := &answer{status: http.StatusOK, header: http.Header{}}
	ha.inner.ServeHTTP(an, rq)
	if rq.Context().Err() != nil {
		return
	}
	an.send(wr, mode)
}

// serveMode sets the mode that a request names.
func (ha *Handler) serveMode(wr http.ResponseWriter, mode Mode) {
	if !mode.Valid() {
		http.Error(wr, "unknown mode, want one of "+strings.Join(ModeNames(), ", "), http.StatusBadRequest)
		return
	}
	ha.SetMode(mode)
	wr.WriteHeader(http.StatusNoContent)
}
