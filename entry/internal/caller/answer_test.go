package caller

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/entry/internal/abort"
)

// Another attempt must go on with nothing but a successful stream: it would add its events to half an answer.
func TestOnlyASuccessfulStreamCanBeResumed(t *testing.T) {
	long := bytes.Repeat([]byte("x"), maxBufferedBytes+1)
	for name, tc := range map[string]struct {
		stream      bool
		status      int
		contentType string
		part        []byte
		resumable   bool
	}{
		"stream":                          {true, 200, "text/event-stream; charset=utf-8", []byte("data: {}\n\n"), true},
		"stream of an error":              {true, 500, "text/event-stream", []byte("data: {}\n\n"), false},
		"long answer in place of it":      {true, 200, "application/json", long, false},
		"long answer":                     {false, 200, "application/json", long, false},
		"long stream that nobody asked":   {false, 200, "text/event-stream", long, false},
		"answer of which nothing is sent": {true, 200, "application/json", []byte("{"), false},
	} {
		an := newAnswer(httptest.NewRecorder(), tc.stream, &buffers{})
		if err := an.Head(tc.status, tc.contentType); err != nil {
			t.Fatal(err)
		}
		if err := an.Part(tc.part); err != nil {
			t.Fatal(err)
		}
		if an.Resumable() != tc.resumable {
			t.Errorf("%s: resumable %t, want %t", name, an.Resumable(), tc.resumable)
		}
	}
}

// A caller of HTTP/1.0 reads until its connection ends. A long answer that is broken off must not look whole to it.
func TestBrokenAnswerLooksBrokenToCallersOfHTTP10(t *testing.T) {
	sv := httptest.NewUnstartedServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		an := newAnswer(wr, false, &buffers{})
		if err := errors.CombineErrors(an.Head(http.StatusOK, "text/plain"), an.Part(bytes.Repeat([]byte("x"), maxBufferedBytes+1))); err != nil {
			t.Error(err)
		}
		an.abort(rq, errors.New("the service has gone away"))
	}))
	sv.Config.ConnContext = abort.ConnContext
	sv.Start()
	defer sv.Close()
	nc, err := net.Dial("tcp", sv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_, _ = fmt.Fprintf(nc, "GET / HTTP/1.0\r\n\r\n")
	if data, err := io.ReadAll(nc); err == nil {
		t.Errorf("%d bytes and an orderly end", len(data))
	}
}
