package proofs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const (
	// endlessBlock is what an endless answer sends each millisecond, in bytes.
	endlessBlock = 16 << 10
	// endlessAnswers is the number of endless answers at the same time.
	endlessAnswers = 40
	// heldMax is what an entry node may hold of all answers together by default, in bytes, and heldSlack what
	// the connections and the rest of the test take beside it.
	heldMax   = 16 << 20
	heldSlack = 16 << 20
)

// writeEndless writes blocks until the connection ends.
func writeEndless(wr http.ResponseWriter, block string) {
	for {
		if _, err := io.WriteString(wr, block); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// discard sends a request, reads the answer without keeping it, and reports whether it was a whole success.
func (cl *directCaller) discard(id, target, adapter string) bool {
	rq, err := http.NewRequestWithContext(cl.ds.tb.Context(), http.MethodGet, "http://"+cl.entry+":1"+target, nil)
	if err != nil {
		cl.ds.tb.Error(err)
		return false
	}
	rq.Host = directHost
	rq.Header.Set(headerID, id)
	rq.Header.Set(headerTimeout, "4000")
	rq.Header.Set(headerAdapter, adapter)
	resp, err := cl.client.Do(rq)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK && err == nil
}

// heapBytes returns the bytes of live objects.
func heapBytes() uint64 {
	runtime.GC()
	ms := runtime.MemStats{}
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// Answers without an end must neither fill the memory of an entry node nor look whole, and end with the
// caller's time. Other requests are answered meanwhile.
func TestDirectEndlessAnswersHoldBoundedMemoryAndDoNotLookWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		target, adapter, block string
	}{
		"bodies":               {target: "/safe/endless", block: strings.Repeat("b", endlessBlock)},
		"events":               {target: "/stream/endless", adapter: "a1", block: strings.Repeat("e", endlessBlock)},
		"events of many lines": {target: "/stream/endless", adapter: "a1", block: strings.Repeat("data: e\n", endlessBlock/8)},
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 2, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
					if !strings.HasSuffix(rq.URL.Path, "/endless") {
						defaultAnswer(wr, rq)
						return
					}
					writeSealHeaders(wr, rq)
					writeEndless(wr, tc.block)
				})
				before, wg := heapBytes(), sync.WaitGroup{}
				for number := range endlessAnswers {
					wg.Go(func() {
						start := time.Now()
						whole := cl.discard(fmt.Sprintf("endless-%d", number), tc.target, tc.adapter)
						if whole {
							t.Error("an answer without an end looks whole")
						}
						if took := time.Since(start); took > 4*time.Second {
							t.Errorf("an answer without an end took %v", took)
						}
					})
				}
				held := int64(0)
				for range 12 {
					time.Sleep(200 * time.Millisecond)
					held = max(held, int64(heapBytes())-int64(before))
				}
				t.Logf("%d MiB more at most", held>>20)
				if held > heldMax+heldSlack {
					t.Errorf("%d endless answers take %d MiB, want at most %d", endlessAnswers, held>>20, (heldMax+heldSlack)>>20)
				}
				if re := cl.sendAs(t.Context(), "sound", http.MethodGet, "/safe/x", "", ""); re.status != http.StatusOK || re.err != nil {
					t.Errorf("another request got %+v", re)
				}
				wg.Wait()
			})
		})
	}
}

// closeDelayMax is longer than the simulated network takes to deliver the close of a connection.
const closeDelayMax = 100 * time.Millisecond

// A caller that leaves in the middle of a long answer says nothing about the server, which must not be
// avoided for it.
func TestDirectCallerThatLeavesALongAnswerIsNoFailureOfItsServer(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		lines := &logBuffer{}
		ds.lg = zerolog.New(lines)
		ds.startEntry("entry-2")
		cl := ds.newCaller("entry-2")
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			if !strings.HasSuffix(rq.URL.Path, "/endless") {
				defaultAnswer(wr, rq)
				return
			}
			writeSealHeaders(wr, rq)
			writeEndless(wr, strings.Repeat("b", endlessBlock))
		})
		for number := range 5 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			cl.sendAs(ctx, fmt.Sprintf("endless-%d", number), http.MethodGet, "/safe/endless", "", "")
			cancel()
		}
		// The close of the caller's connection takes a while to reach the node, which counts the request
		// as in flight until then.
		time.Sleep(closeDelayMax)
		lines.reset()
		cl.sendAs(t.Context(), "sound", http.MethodGet, "/safe/x", "", "")
		cl.client.CloseIdleConnections()
		first := costOf(lines.text(), "sound")
		ds.startEntry("entry-3")
		cl = ds.newCaller("entry-3")
		lines.reset()
		cl.sendAs(t.Context(), "calm", http.MethodGet, "/safe/x", "", "")
		cl.client.CloseIdleConnections()
		if calm := costOf(lines.text(), "calm"); first == "" || first != calm {
			t.Errorf("the server costs %q after callers that left, %q at a node without any", first, calm)
		}
	})
}

// costOf returns the cost of the server that was chosen for a request, as logged.
func costOf(lines, request string) string {
	_, rest, _ := strings.Cut(lines, `"request":"`+request+`"`)
	_, rest, _ = strings.Cut(rest, `"cost":`)
	cost, _, _ := strings.Cut(rest, ",")
	return cost
}

// logBuffer keeps log lines.
type logBuffer struct {
	mu   sync.Mutex
	data []byte
}

func (lb *logBuffer) Write(data []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.data = append(lb.data, data...)
	return len(data), nil
}

// reset forgets all lines.
func (lb *logBuffer) reset() {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.data = nil
}

// text returns all lines.
func (lb *logBuffer) text() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return string(lb.data)
}
