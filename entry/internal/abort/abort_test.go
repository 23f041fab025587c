package abort

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// serve starts a server that answers with four bytes and breaks off, or ends there.
func serve(t *testing.T, whole bool) string {
	t.Helper()
	sv := httptest.NewUnstartedServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		_, _ = io.WriteString(wr, "part")
		_ = http.NewResponseController(wr).Flush()
		if !whole {
			Answer(rq)
		}
	}))
	sv.Config.ConnContext = ConnContext
	sv.Start()
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

// A caller of HTTP/1.0 reads until the connection ends. An answer that is broken off must not look whole to it.
func TestBrokenAnswerLooksBrokenToCallersOfEachVersion(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for _, whole := range []bool{false, true} {
			nc, err := net.Dial("tcp", serve(t, whole))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(nc, "GET / HTTP/%s\r\nHost: h\r\nConnection: close\r\n\r\n", version)
			data, err := io.ReadAll(nc)
			_ = nc.Close()
			ended := err == nil && (version == "1.0" || hasLastChunk(data))
			if ended != whole {
				t.Errorf("HTTP/%s, whole is %t: read %q, error %v", version, whole, data, err)
			}
		}
	}
}

// hasLastChunk reports whether an answer in chunks is whole.
func hasLastChunk(data []byte) bool {
	const lastChunk = "0\r\n\r\n"
	return len(data) > len(lastChunk) && string(data[len(data)-len(lastChunk):]) == lastChunk
}
