package proofs

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// sendTakeUp takes a stream up after its fourth event and reads the whole answer.
func (cl *directCaller) sendTakeUp(t *testing.T) directReply {
	t.Helper()
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+cl.entry+":1/stream/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	rq.Host = directHost
	for name, value := range map[string]string{headerID: "id-2", headerTimeout: "4000", headerAdapter: "a1", headerLastEvent: "4", headerResumes: "id-1"} {
		rq.Header.Set(name, value)
	}
	resp, err := cl.client.Do(rq)
	if err != nil {
		return directReply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return directReply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// A caller takes a stream up, and the first server that is asked answers with a success that is no stream. The caller would
// get an end before the last event that looks like the stream's own, though other servers could go on with it.
func TestDirectStreamThatIsTakenUpGoesOnOnlyWithAStream(t *testing.T) {
	for name, answer := range map[string]func(wr http.ResponseWriter, rq *http.Request){
		"a stream":                  streamOf(5, 6, 7, 8, 9, 10),
		"an error":                  sized("500 Internal Server Error", jsonLines, `{"error":"overloaded"}`),
		"success that is no stream": sized("200 OK", jsonLines, `{"error":"overloaded"}`),
		"success without a type":    sized("200 OK", "", "data: overloaded\n\n"),
		"success without a body":    sized("200 OK", jsonLines, ""),
		"accepted":                  sized("202 Accepted", "Content-Type: text/event-stream\r\n", ""),
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 0, 3, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				once := sync.Once{}
				ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
					next := defaultAnswer
					once.Do(func() { next = answer })
					next(wr, rq)
				})
				re := cl.sendTakeUp(t)
				if events, _, _ := strings.Cut(completeStream(), "id: 5"); re.err == nil && re.status < 300 && events+re.body != completeStream() {
					t.Errorf("status %d, type %q, looks whole: %q", re.status, re.header.Get("Content-Type"), re.body)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// A caller has all events of a stream and takes it up for its end alone, which servers send without framing. It would be
// told that the answer was lost, though no event was.
func TestDirectEndOfAStreamThatIsTakenUpNeedsNoEvent(t *testing.T) {
	runDirectSimulation(t, 0, 3, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(unframed("Content-Type: text/event-stream\r\n", ""))
		if re := cl.sendTakeUp(t); re.err != nil || re.status != http.StatusOK || re.body != "" {
			t.Errorf("status %d, error %v, %q", re.status, re.err, re.body)
		}
	})
}
