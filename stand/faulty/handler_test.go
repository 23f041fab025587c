package faulty

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startServer serves a JSON answer and an event stream in one mode.
func startServer(t *testing.T, mode Mode) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/whole", func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, `{"answer":"whole"}`) })
	mux.HandleFunc("/events", func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(wr, "data: one\n\ndata: last\n\n")
	})
	sv := httptest.NewServer(New(mux, Sound))
	t.Cleanup(sv.Close)
	rq, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, sv.URL+ModePath+string(mode), nil)
	re, err := sv.Client().Do(rq)
	if err != nil || re.StatusCode != http.StatusNoContent {
		t.Fatalf("setting the mode got %v, %v", re, err)
	}
	_ = re.Body.Close()
	return sv
}

// get returns an answer's body and the error of the request or of reading the body.
func get(sv *httptest.Server, path string) (string, int64, error) {
	tr := &http.Transport{MaxResponseHeaderBytes: 64 << 10}
	defer tr.CloseIdleConnections()
	cl := &http.Client{Transport: tr, Timeout: 5 * time.Second}
	re, err := cl.Get(sv.URL + path)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = re.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(re.Body, 1<<20))
	return string(data), re.ContentLength, err
}

func TestModes(t *testing.T) {
	for _, tc := range []struct {
		mode Mode
		path string
		body string
		// length is the announced length, -1 without one.
		length int64
		fails  bool
		reset  bool
	}{
		{mode: Sound, path: "/whole", body: `{"answer":"whole"}`, length: 18},
		{mode: Unframed, path: "/whole", body: `{"answer":"whole"}`, length: -1},
		{mode: Unframed, path: "/events", body: "data: one\n\ndata: last\n\n", length: -1},
		{mode: Cut, path: "/whole", body: `{"answer"`, length: 18, fails: true},
		{mode: Cut, path: "/events", body: "data: one", length: -1},
		{mode: Reset, path: "/whole", length: 18, fails: true, reset: true},
		{mode: Reset, path: "/events", length: -1, fails: true, reset: true},
		{mode: EndlessHead, path: "/whole", fails: true},
		{mode: EndlessBody, path: "/whole", body: strings.Repeat("e", 1<<20), length: -1},
		{mode: NoAnswer, path: "/whole", fails: true},
		{mode: Garbage, path: "/whole", fails: true},
	} {
		t.Run(string(tc.mode)+tc.path, func(t *testing.T) {
			body, length, err := get(startServer(t, tc.mode), tc.path)
			if (err != nil) != tc.fails {
				t.Fatalf("got the error %v, want one: %v", err, tc.fails)
			}
			if tc.reset {
				if !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("got the error %v, want a reset", err)
				}
				return
			}
			if body != tc.body || length != tc.length {
				t.Errorf("got %.100q of length %d, want %.100q of length %d", body, length, tc.body, tc.length)
			}
		})
	}
}

func TestUnknownModeIsRejected(t *testing.T) {
	sv := startServer(t, Sound)
	rq, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, sv.URL+ModePath+"loud", nil)
	re, err := sv.Client().Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = re.Body.Close() }()
	if re.StatusCode != http.StatusBadRequest {
		t.Errorf("got the status %d, want 400", re.StatusCode)
	}
	if body, _, err := get(sv, "/whole"); err != nil || body != `{"answer":"whole"}` {
		t.Errorf("after an unknown mode got %q, %v", body, err)
	}
}
