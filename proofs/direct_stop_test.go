package proofs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/entry/direct"
)

const (
	// patientTimeout is the timeout of callers that outlast a stop of 8 s, and of their routes.
	patientTimeout = 20 * time.Second
	// stopTime is the time that a stop may take.
	stopTime = 8 * time.Second
)

// patientRoutes puts routes into force that allow requests to take patientTimeout.
func (ds *directSimulation) patientRoutes() {
	ta := routeTable(2)
	for ix := range ta.Routes {
		ta.Routes[ix].Timeout = patientTimeout
	}
	ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: (&paths.Table{
		Version: ta.Version, Limits: ta.Limits, Routes: ta.Routes, Services: ta.Services,
	}).Build()})
	time.Sleep(time.Second)
}

// sendPatiently sends a request that the caller waits patientTimeout for, on a connection of its own.
func (ds *directSimulation) sendPatiently(ctx context.Context, entry, id, target, adapter string, body io.Reader) directReply {
	cl := ds.newCaller(entry)
	defer cl.client.CloseIdleConnections()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+":1"+target, body)
	if err != nil {
		ds.tb.Error(err)
		return directReply{err: err}
	}
	rq.Host = directHost
	rq.Header.Set(headerID, id)
	rq.Header.Set(headerTimeout, fmt.Sprint(patientTimeout.Milliseconds()))
	rq.Header.Set(headerAdapter, adapter)
	start := time.Now()
	resp, err := cl.client.Do(rq)
	if err != nil {
		return directReply{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return directReply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, took: time.Since(start)}
}

// stopEntry stops an entry node in the background, and returns what is closed once it has stopped.
func (ds *directSimulation) stopEntry(ix int) chan struct{} {
	app := ds.apps[ix]
	ds.apps = append(ds.apps[:ix:ix], ds.apps[ix+1:]...)
	stopped := make(chan struct{})
	go func() {
		_ = app.Stop(context.Background())
		close(stopped)
	}()
	return stopped
}

// runs counts how often each request reached a server.
func (ds *directSimulation) runs() map[string]int {
	runs := map[string]int{}
	for _, rq := range ds.allRequests() {
		id, _, _ := strings.Cut(rq, " ")
		runs[id]++
	}
	return runs
}

// checkNotRun checks that a request was told truly that it has not run, with a time to come back, before a stop
// of some length could cut it off.
func checkNotRun(t *testing.T, id string, re directReply, runs map[string]int, length time.Duration) {
	t.Helper()
	if re.err != nil || re.status != http.StatusServiceUnavailable || re.header.Get("Retry-After") == "" || re.took >= length {
		t.Errorf("%s got status %d, %v, after %v, want 503 with a time to come back", id, re.status, re.err, re.took)
	}
	if runs[id] != 0 {
		t.Errorf("%s was told that it has not run, and reached servers %d times", id, runs[id])
	}
}

// Requests that wait for a grant while their entry node stops must be told that they have not run. The node closed
// their connections without an answer at the end of the stop.
func TestDirectStopAnswersRequestsThatWaitForAGrant(t *testing.T) {
	const callCount = 6
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 0, 1)
		defer ds.close()
		ds.startEntry("entry-2")
		ds.patientRoutes()
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			writeSealHeaders(wr, rq)
			for number := 1; number <= 40; number++ {
				time.Sleep(400 * time.Millisecond)
				_, _ = fmt.Fprintf(wr, "id: %d\ndata: event %d\n\n", number, number)
				_ = http.NewResponseController(wr).Flush()
			}
		})
		// The engine has two places for adapters, which are in use until after the stop.
		for number := range 2 {
			go ds.sendPatiently(t.Context(), "entry-2", fmt.Sprintf("long-%d", number), "/stream/x", fmt.Sprintf("a%d", number), nil)
		}
		time.Sleep(2 * time.Second)
		stopped := ds.stopEntry(1)
		replies, wg := make([]directReply, callCount), sync.WaitGroup{}
		for number := range callCount {
			time.Sleep(300 * time.Millisecond)
			wg.Go(func() {
				replies[number] = ds.sendPatiently(t.Context(), "entry-1", fmt.Sprintf("call-%d", number), "/stream/x", "a9", nil)
			})
		}
		<-stopped
		wg.Wait()
		for number, re := range replies {
			checkNotRun(t, fmt.Sprintf("call-%d", number), re, ds.runs(), stopTime)
		}
		time.Sleep(patientTimeout)
	})
}

// A request that the node is about to read when it has nothing else left to do must be answered. Its connection was
// closed with the others.
func TestDirectStopAnswersARequestThatItIsAboutToRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 0)
		defer ds.close()
		stopped := ds.stopEntry(len(ds.apps) - 1)
		time.Sleep(2400 * time.Millisecond) // new connections come until 2.5 s
		co, err := ds.net.forHost("caller").DialContext(t.Context(), "tcp", "entry-1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = co.Close() }()
		_, _ = fmt.Fprintf(co, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: late\r\n", directHost, headerID)
		time.Sleep(600 * time.Millisecond)
		_, _ = fmt.Fprintf(co, "%s: 4000\r\nContent-Length: 0\r\n\r\n", headerTimeout)
		resp, err := http.ReadResponse(bufio.NewReader(co), nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("status %d, want 200", resp.StatusCode)
		}
		<-stopped
	})
}

// A request whose body does not arrive before the end of a stop is told that it has not run.
func TestDirectStopAnswersARequestWithoutItsWholeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 0)
		defer ds.close()
		ds.patientRoutes()
		body, fill := io.Pipe()
		defer func() { _ = fill.Close() }()
		reply := make(chan directReply, 1)
		go func() { reply <- ds.sendPatiently(t.Context(), "entry-1", "slow", "/unsafe/x", "", body) }()
		_, _ = io.WriteString(fill, "part")
		stopped := ds.stopEntry(len(ds.apps) - 1)
		<-stopped
		checkNotRun(t, "slow", <-reply, ds.runs(), stopTime)
	})
}

// A call that a server still runs at the end of a stop is told that its outcome is unknown; it must neither be cut
// off without an answer nor be told that it has not run.
func TestDirectStopAnswersACallThatStillRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 0)
		defer ds.close()
		ds.patientRoutes()
		ds.setAllScripts(func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
		reply := make(chan directReply, 1)
		go func() { reply <- ds.sendPatiently(t.Context(), "entry-1", "long", "/unsafe/x", "", nil) }()
		time.Sleep(100 * time.Millisecond)
		<-ds.stopEntry(len(ds.apps) - 1)
		re := <-reply
		if re.err != nil || re.status != http.StatusBadGateway || !strings.Contains(re.body, `"outcome":"unknown"`) {
			t.Errorf("the caller got status %d, %v, %q, want 502 with an unknown outcome", re.status, re.err, re.body)
		}
	})
}

// Requests on connections that were open before a stop are served as long as an answer can be expected before its
// end.
func TestDirectStopServesRequestsThatComeWhileItLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 0)
		defer ds.close()
		ds.patientRoutes()
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(time.Second)
			defaultAnswer(wr, rq)
		})
		stopped := ds.stopEntry(len(ds.apps) - 1)
		replies := make(chan directReply)
		for number := range 8 {
			go func() {
				time.Sleep(time.Duration(number) * 300 * time.Millisecond)
				replies <- ds.sendPatiently(t.Context(), "entry-1", fmt.Sprintf("call-%d", number), "/unsafe/x", "", nil)
			}()
		}
		for range 8 {
			if re := <-replies; re.err != nil || re.status != http.StatusOK {
				t.Errorf("status %d, %v, want 200", re.status, re.err)
			}
		}
		<-stopped
	})
}
