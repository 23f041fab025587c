package caller

import (
	"bytes"
	"net/http/httptest"
	"testing"
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
		an := newAnswer(httptest.NewRecorder(), tc.stream)
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
