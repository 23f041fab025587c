package proofs

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// repeatingServer is a server that rejects the first sending of each request, and runs the next one.
type repeatingServer struct {
	// repeats makes a rejection come a second time, where the next answer of its connection is due.
	repeats bool

	mu       sync.Mutex
	rejected map[string]bool
	runs     map[string]int
}

// answer serves a connection until its caller closes it.
func (rs *repeatingServer) answer(wr http.ResponseWriter, rq *http.Request) {
	hijack(wr, func(bw *bufio.ReadWriter) {
		extra := ""
		for ; rq != nil; rq = nextRequest(bw) {
			_, _ = bw.WriteString(extra)
			_ = bw.Flush()
			time.Sleep(20 * time.Millisecond)
			extra = rs.answerOne(bw, rq)
			_ = bw.Flush()
		}
	})
}

// nextRequest reads the next request of a connection, or returns nil if there is none.
func nextRequest(bw *bufio.ReadWriter) *http.Request {
	rq, err := http.ReadRequest(bw.Reader)
	if err != nil {
		return nil
	}
	_, _ = bw.Discard(int(rq.ContentLength))
	return rq
}

// answerOne answers one request, and returns what the server sends once more before its next answer.
func (rs *repeatingServer) answerOne(bw *bufio.ReadWriter, rq *http.Request) string {
	id := rq.Header.Get(headerID)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.rejected[id] {
		rs.runs[id]++
		_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: 3\r\n\r\nrun", headerID, id, headerSeal)
		return ""
	}
	rs.rejected[id] = true
	rejection := "HTTP/1.1 503 Service Unavailable\r\n" + headerID + ": " + id + "\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	_, _ = bw.WriteString(rejection)
	if rs.repeats {
		return rejection
	}
	return ""
}

// A server rejects a call, gets it once more, and sends its rejection a second time before it runs the call. The
// second rejection must not be taken for the answer to the second sending: the caller would be told that the
// call has not run.
func TestDirectRejectionThatComesTwiceIsNotTakenForTheNextAnswer(t *testing.T) {
	for name, repeats := range map[string]bool{"once": false, "twice": true} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				rs := &repeatingServer{repeats: repeats, runs: map[string]int{}, rejected: map[string]bool{}}
				ds.setAllScripts(rs.answer)
				for number := range 5 {
					id := fmt.Sprintf("call-%d", number)
					re := cl.sendAs(t.Context(), id, http.MethodPost, "/unsafe/x", "", "release")
					time.Sleep(time.Second) // a second run may go on after the answer
					if rs.runs[id] != 1 || re.status != http.StatusOK {
						t.Errorf("%s ran %d times, its caller got status %d, %v", id, rs.runs[id], re.status, re.err)
					}
				}
			})
		})
	}
}
