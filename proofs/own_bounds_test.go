package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/stand/engine"
)

// ownEndless writes a head and then a block each millisecond until the connection ends.
func ownEndless(lines, block string) ownAnswer {
	return func(wr http.ResponseWriter, rq *http.Request, _ http.Handler) {
		hijack(wr, func(bw *bufio.ReadWriter) {
			_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", engine.RequestHeader, rq.Header.Get(engine.RequestHeader), lines)
			for _, err := bw.WriteString(block); err == nil; _, err = bw.WriteString(block) {
				if err := bw.Flush(); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// endlessFront answers all requests with a path in the same way.
type endlessFront struct {
	path   string
	answer ownAnswer
}

// front returns what answers in front of a backend server.
func (ef *endlessFront) front(_ string, inner http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == ef.path {
			ef.answer(wr, rq, inner)
			return
		}
		inner.ServeHTTP(wr, rq)
	})
}

// discard sends a call or a chat, reads the answer without keeping it and returns its status, and an error if it is not whole.
func (sm *simulation) discard(path string, stream bool) (int, error) {
	url, body := "http://"+entryName(0)+":1"+path, fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":1,"messages":[{"role":"user","content":%q}]}`, ownModel, stream, ownPrompt)
	if path == "/releases" {
		url, body = "http://"+entryName(0)+":1/services/ledger"+path, `{"batch":1}`
	}
	rq, err := http.NewRequestWithContext(sm.ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	rq.Header.Set("Authorization", "Bearer "+callerToken)
	rq.Header.Set("Idempotency-Key", newIdempotencyKey())
	rq.Header.Set("Bambooladder-Timeout-Ms", "4000")
	resp, err := (&http.Transport{DialContext: sm.net.forHost("caller").DialContext, DisableKeepAlives: true}).RoundTrip(rq)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

const (
	// ownSlowAnswers is the number of slow answers at the same time, ownSlowBlock what each of them sends in a millisecond, in bytes.
	ownSlowAnswers = 200
	ownSlowBlock   = 400
	// agentHeldMax is what an agent may hold of all answers of its engine together.
	agentHeldMax = 64 << 20
	// ownFreeBytes is what an entry node and an agent may each hold of an answer beside the bound for all, ownConnBytes what the
	// connections of an answer and their goroutines take in the simulation.
	ownFreeBytes = 64 << 10
	ownConnBytes = 128 << 10
)

// watchHeap samples the bytes of live objects and returns the most that there were more than before.
func watchHeap(before uint64, duration time.Duration) int64 {
	held := int64(0)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		held = max(held, int64(heapBytes())-int64(before))
	}
	return held
}

// Backend servers send endless responses so slowly that no single one becomes long before its request times out. The memory of all of
// them together must be limited.
func TestOwnSlowEndlessAnswersHoldBoundedMemory(t *testing.T) {
	block := strings.Repeat("e", ownSlowBlock)
	for name, tc := range map[string]struct {
		path, lines string
		stream      bool
		heldMax     int64
	}{
		"bodies of a service": {"/releases", "\r\n", false, heldMax},
		"bodies of an engine": {"/v1/chat/completions", jsonLines + "\r\n", false, heldMax + agentHeldMax},
		"lines of streams":    {"/v1/chat/completions", "Content-Type: text/event-stream\r\n\r\n", true, heldMax + agentHeldMax},
	} {
		t.Run(name, func(t *testing.T) {
			ef, op := &endlessFront{tc.path, ownEndless(tc.lines, block)}, smallSimulation()
			op.front, op.engines, op.batchSize = ef.front, 1, ownSlowAnswers
			runSimulation(t, op, func(t *testing.T, sm *simulation) {
				before, wg := heapBytes(), sync.WaitGroup{}
				for range ownSlowAnswers {
					wg.Go(func() { _, _ = sm.discard(tc.path, tc.stream) })
				}
				held := watchHeap(before, 4*time.Second)
				t.Logf("%d MiB more at most", held>>20)
				if want := tc.heldMax + heldSlack + ownSlowAnswers*(2*ownFreeBytes+ownConnBytes); held > want {
					t.Errorf("%d slow endless answers take %d MiB, want at most %d", ownSlowAnswers, held>>20, want>>20)
				}
				wg.Wait()
			})
		})
	}
}

// Backend servers send endless responses. These must neither exhaust the memory of their readers nor look whole.
func TestOwnEndlessAnswersHoldBoundedMemoryAndDoNotLookWhole(t *testing.T) {
	block := strings.Repeat("e", endlessBlock)
	for name, tc := range map[string]struct {
		path, lines, block string
		stream             bool
	}{
		"head of a service":         {"/releases", "", strings.Repeat("A: b\r\n", endlessBlock/6), false},
		"line of a service's head":  {"/releases", "A: ", block, false},
		"body of a service":         {"/releases", "\r\n", block, false},
		"chunks of a service":       {"/releases", "Transfer-Encoding: chunked\r\n\r\n", encodeChunk(block), false},
		"line of an engine's head":  {"/v1/chat/completions", "A: ", block, false},
		"body of an engine":         {"/v1/chat/completions", jsonLines + "\r\n", block, false},
		"chunks of an engine":       {"/v1/chat/completions", jsonLines + "Transfer-Encoding: chunked\r\n\r\n", encodeChunk(block), false},
		"line of a stream":          {"/v1/chat/completions", "Content-Type: text/event-stream\r\n\r\n", block, true},
		"comments of a stream":      {"/v1/chat/completions", "Content-Type: text/event-stream\r\n\r\n", strings.Repeat(": e\n", endlessBlock/4), true},
		"body in place of a stream": {"/v1/chat/completions", jsonLines + "\r\n", block, true},
	} {
		t.Run(name, func(t *testing.T) {
			ef, op := &endlessFront{tc.path, ownEndless(tc.lines, tc.block)}, smallSimulation()
			op.front, op.engines, op.batchSize = ef.front, 1, endlessAnswers
			runSimulation(t, op, func(t *testing.T, sm *simulation) {
				before, wg := heapBytes(), sync.WaitGroup{}
				for range endlessAnswers {
					wg.Go(func() {
						start := time.Now()
						if status, err := sm.discard(tc.path, tc.stream); err == nil && status < http.StatusBadRequest {
							t.Errorf("an endless answer looks whole: status %d", status)
						}
						if took := time.Since(start); took > 5*time.Second {
							t.Errorf("an endless answer took %v", took)
						}
					})
				}
				held := watchHeap(before, 4*time.Second)
				t.Logf("%d MiB more at most", held>>20)
				if want := int64(heldMax + agentHeldMax + heldSlack); held > want {
					t.Errorf("%d endless answers take %d MiB, want at most %d", endlessAnswers, held>>20, want>>20)
				}
				wg.Wait()
			})
		})
	}
}
