package proofs

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A server sends an answer once more after some time, whole or in part, on a connection that then waits for its next request or
// carries it already. Each caller must get the answer to its own call, or be told that the outcome is unknown.
func TestDirectLateCopyOfAnAnswerReachesNoOtherCaller(t *testing.T) {
	for name, te := range map[string]struct {
		// copyAfter is when the copy comes after the answer, share how much of it.
		copyAfter time.Duration
		share     float64
	}{
		"at once":                                  {0, 1},
		"while the connection is idle":             {30 * time.Millisecond, 1},
		"in part, while the connection is idle":    {30 * time.Millisecond, 0.5},
		"under the next request":                   {110 * time.Millisecond, 1},
		"in part, under the next request":          {110 * time.Millisecond, 0.9},
		"a part of the head, in the next request":  {110 * time.Millisecond, 0.1},
		"all but one byte, under the next request": {110 * time.Millisecond, 0.99},
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
					hijack(wr, func(bw *bufio.ReadWriter) {
						for ; rq != nil; rq = nextRequest(bw) {
							time.Sleep(20 * time.Millisecond)
							id := rq.Header.Get(headerID)
							body := "the answer to " + id
							answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, len(body), body)
							_, _ = bw.WriteString(answer)
							_ = bw.Flush()
							time.Sleep(te.copyAfter)
							_, _ = bw.WriteString(answer[:int(float64(len(answer))*te.share)])
							_ = bw.Flush()
						}
					})
				})
				answered := 0
				for number := range 20 {
					id := fmt.Sprintf("call-%02d", number)
					re := cl.sendAs(t.Context(), id, http.MethodPost, "/unsafe/x", "", "release")
					switch {
					case re.status == http.StatusOK && re.err == nil && re.body == "the answer to "+id:
						answered++
					case re.status != http.StatusBadGateway:
						t.Errorf("%s got status %d, %q, %v, want its own answer or an unknown outcome", id, re.status, re.body, re.err)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if answered == 0 {
					t.Error("no call was answered")
				}
				t.Logf("%d of 20 calls answered", answered)
			})
		})
	}
}
