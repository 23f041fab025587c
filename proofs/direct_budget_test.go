package proofs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/entry/direct"
)

const (
	// budgetMemory is the memory of an entry node in megabytes of which largeAtOnce large bodies fit into the budget.
	budgetMemory = 40
	largeAtOnce  = 3
	// largeBytes is the size of a large body, the most that the operators allow.
	largeBytes   = 4 << 20
	largeCallers = 12
	// largeWork is how long a server works on a request.
	largeWork = time.Second
	// refusalMax is how long a refusal may take: it does not wait for the body.
	refusalMax = 500 * time.Millisecond
	// servedMax is how long it may take until the last of all large requests is served, with what is refused sent again
	// when the refusal says. Without any loss it would take largeCallers / largeAtOnce times largeWork.
	servedMax = 20 * time.Second
	// triesMax bounds how often a caller sends a request again.
	triesMax = 100
	// mediumBytes is the size of a body that is large for the budget, and small enough for the HTTP library to read
	// it before it answers.
	mediumBytes = 128 << 10
)

// budgetSimulation is a deployment whose entry node has little memory, with plain servers that count what runs.
type budgetSimulation struct {
	*directSimulation
	// running and peak are the large requests that run now, and the most that ever did; arrived holds the requests that reached
	// a server.
	running, peak atomic.Int64
	mu            sync.Mutex
	arrived       map[string]bool
}

// runBudgetSimulation runs a test against the entry node "entry-2", which has little memory.
func runBudgetSimulation(t *testing.T, fn func(t *testing.T, bs *budgetSimulation, cl *directCaller)) {
	t.Helper()
	runDirectSimulation(t, 2, 0, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		bs := &budgetSimulation{directSimulation: ds, arrived: map[string]bool{}}
		ta := routeTable(2)
		ta.Limits.BodyBytes = largeBytes
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: ta})
		ds.tune = func(se *conf.DirectEntrySettings) { se.MemoryMb = budgetMemory }
		ds.startEntry("entry-2")
		ds.setAllScripts(bs.work)
		fn(t, bs, ds.newCaller("entry-2"))
	})
}

// work answers a request after some time, a small one at once.
func (bs *budgetSimulation) work(wr http.ResponseWriter, rq *http.Request) {
	bs.mu.Lock()
	bs.arrived[rq.Header.Get(headerID)] = true
	bs.mu.Unlock()
	if rq.ContentLength > largeBytes/2 {
		running := bs.running.Add(1)
		defer bs.running.Add(-1)
		for peak := bs.peak.Load(); running > peak && !bs.peak.CompareAndSwap(peak, running); peak = bs.peak.Load() {
		}
		time.Sleep(largeWork)
	}
	defaultAnswer(wr, rq)
}

// ran reports whether a request has reached a server.
func (bs *budgetSimulation) ran(id string) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.arrived[id]
}

// sendUnknownLength sends a body without stating its length.
func (cl *directCaller) sendUnknownLength(id, body string) directReply {
	rq, err := http.NewRequestWithContext(cl.ds.tb.Context(), http.MethodPost, "http://"+cl.entry+":1/unsafe/x", io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return directReply{err: err}
	}
	rq.Host = directHost
	rq.Header.Set(headerID, id)
	rq.Header.Set(headerTimeout, "4000")
	start := time.Now()
	resp, err := cl.client.Do(rq)
	if err != nil {
		return directReply{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return directReply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, took: time.Since(start)}
}

// checkRefusal checks a refusal for want of memory and returns when the caller may come again.
func (bs *budgetSimulation) checkRefusal(t *testing.T, id string, re directReply) time.Duration {
	seconds, _ := strconv.ParseFloat(re.header.Get("Retry-After"), 64)
	if re.err != nil || re.status != http.StatusServiceUnavailable || seconds <= 0 || !strings.Contains(re.body, `"not_run"`) {
		t.Errorf("%s got %d with %v: %q, Retry-After %v", id, re.status, re.err, re.body, seconds)
		return largeWork
	}
	if bs.ran(id) {
		t.Errorf("%s was refused as not run, and reached a server", id)
	}
	return time.Duration(seconds * float64(time.Second))
}

// sendUntilServed sends a large body, again after each refusal, until it is answered, and returns the number of refusals.
func (bs *budgetSimulation) sendUntilServed(t *testing.T, name string, send func(id string) directReply) int {
	for try := 0; ; try++ {
		id := fmt.Sprintf("%s-%d", name, try)
		re := send(id)
		if re.status == http.StatusOK && re.err == nil {
			return try
		}
		wait := bs.checkRefusal(t, id, re)
		if try == triesMax {
			t.Errorf("%s was refused %d times", name, try)
		}
		if t.Failed() {
			return try
		}
		time.Sleep(wait)
	}
}

// Bodies that do not fit into the budget are refused, whether their length is stated or not. All are served in the end if their
// callers do as the refusals say, and small requests notice nothing.
func TestDirectBodiesBeyondTheBudgetAreRefusedAndServedLater(t *testing.T) {
	body := strings.Repeat("x", largeBytes)
	for name, send := range map[string]func(cl *directCaller, id string) directReply{
		"length stated": func(cl *directCaller, id string) directReply {
			return cl.sendAs(cl.ds.tb.Context(), id, http.MethodPost, "/unsafe/x", "", body)
		},
		"length not stated": func(cl *directCaller, id string) directReply { return cl.sendUnknownLength(id, body) },
	} {
		t.Run(name, func(t *testing.T) {
			runBudgetSimulation(t, func(t *testing.T, bs *budgetSimulation, cl *directCaller) {
				ctx, cancel := context.WithCancel(t.Context())
				small, large, refusals := sync.WaitGroup{}, sync.WaitGroup{}, atomic.Int64{}
				small.Go(func() {
					for number := 0; ctx.Err() == nil; number++ {
						if re := cl.sendAs(t.Context(), fmt.Sprintf("small-%d", number), http.MethodPost, "/safe/x", "", "small"); re.status != http.StatusOK || re.err != nil {
							t.Errorf("a small request got %d after %v: %v %s", re.status, re.took, re.err, re.body)
						}
						time.Sleep(50 * time.Millisecond)
					}
				})
				start := time.Now()
				for number := range largeCallers {
					large.Go(func() {
						own := bs.newCaller("entry-2")
						defer own.client.CloseIdleConnections()
						refusals.Add(int64(bs.sendUntilServed(t, fmt.Sprintf("large-%d", number), func(id string) directReply { return send(own, id) })))
					})
				}
				large.Wait()
				took := time.Since(start)
				cancel()
				small.Wait()
				t.Logf("%d bodies of %d bytes took %v with %d refusals, %d at once at most", largeCallers, largeBytes, took, refusals.Load(), bs.peak.Load())
				if bs.peak.Load() > largeAtOnce {
					t.Errorf("%d large bodies were held at once, want at most %d", bs.peak.Load(), largeAtOnce)
				}
				if took > servedMax {
					t.Errorf("the large requests took %v, want at most %v", took, servedMax)
				}
			})
		})
	}
}

// fill sends large requests until no more fit, and returns once all of them run.
func (bs *budgetSimulation) fill(t *testing.T, cl *directCaller, wg *sync.WaitGroup) {
	for number := range largeAtOnce {
		wg.Go(func() {
			cl.sendAs(t.Context(), fmt.Sprintf("held-%d", number), http.MethodPost, "/unsafe/x", "", strings.Repeat("x", largeBytes))
		})
	}
	time.Sleep(largeWork / 2)
}

// A refusal comes at once, before the body has been sent.
func TestDirectBodyWithoutRoomIsRefusedBeforeItIsRead(t *testing.T) {
	for name, size := range map[string]int{"large": largeBytes, "medium": mediumBytes} {
		t.Run(name, func(t *testing.T) {
			runBudgetSimulation(t, func(t *testing.T, bs *budgetSimulation, cl *directCaller) {
				wg := sync.WaitGroup{}
				bs.fill(t, cl, &wg)
				nc := bs.begin(t, "refused", size)
				defer func() { _ = nc.Close() }()
				start := time.Now()
				bs.checkRefusal(t, "refused", readReply(nc))
				if took := time.Since(start); took > refusalMax {
					t.Errorf("a refusal took %v, want at most %v", took, refusalMax)
				}
				wg.Wait()
			})
		})
	}
}

// begin sends the head of a request on a new connection.
func (bs *budgetSimulation) begin(t *testing.T, id string, length int) net.Conn {
	nc, err := bs.net.forHost("caller").DialContext(t.Context(), "tcp", "entry-2:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(nc, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\nContent-Length: %d\r\n\r\n", directHost, headerID, id, headerTimeout, length); err != nil {
		t.Fatal(err)
	}
	return nc
}

// readReply reads the answer on a connection.
func readReply(nc net.Conn) directReply {
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return directReply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return directReply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// sendSlowly writes single bytes until the connection ends.
func sendSlowly(nc net.Conn, count int, pause time.Duration) {
	for range count {
		if _, err := nc.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Callers that state large bodies and send them slowly must not keep the memory from others.
func TestDirectSlowSendersDoNotKeepTheBudget(t *testing.T) {
	runBudgetSimulation(t, func(t *testing.T, bs *budgetSimulation, cl *directCaller) {
		wg := sync.WaitGroup{}
		for number := range largeAtOnce {
			wg.Go(func() {
				id := fmt.Sprintf("slow-%d", number)
				nc, start := bs.begin(t, id, largeBytes), time.Now()
				defer func() { _ = nc.Close() }()
				go sendSlowly(nc, 1000, 10*time.Millisecond)
				bs.checkRefusal(t, id, readReply(nc))
				t.Logf("%s was refused after %v", id, time.Since(start))
			})
		}
		time.Sleep(2 * time.Second)
		for number := range largeAtOnce {
			wg.Go(func() {
				id := fmt.Sprintf("sound-%d", number)
				if re := cl.sendAs(t.Context(), id, http.MethodPost, "/unsafe/x", "", strings.Repeat("x", largeBytes)); re.status != http.StatusOK || re.err != nil {
					t.Errorf("%s got %d with %v beside slow senders: %s", id, re.status, re.err, re.body)
				}
			})
		}
		wg.Wait()
	})
}
