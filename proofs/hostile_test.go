package proofs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/proc"
	"github.com/bambooladder/bambooladder/core/reply/fakes"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/direct"
)

const (
	hostileServers = 32
	soundServers   = 8
	// hostileRate is the number of requests in a second to each of the two services.
	hostileRate = 200
	// hostileTime is how long the load lasts without hostile servers, and then with them.
	hostileTime = 30 * time.Second
	// hostileBlock is what an endless answer sends every hostilePause.
	hostileBlock = 16 << 10
	hostilePause = 10 * time.Millisecond
	// hostileBodyBytes bounds the bodies of requests.
	hostileBodyBytes = 16 << 20
)

// hostileAnswers are the ways in which servers misbehave.
var hostileAnswers = []func(nc net.Conn, id string){
	func(nc net.Conn, _ string) { sendEndless(nc, "HTTP/1.1 200 OK\r\nA: ") },
	func(nc net.Conn, _ string) { sendEndless(nc, "") },
	func(nc net.Conn, id string) {
		sendEndless(nc, hostileHead(id)+"Transfer-Encoding: chunked\r\n\r\nfffffff\r\n")
	},
	func(nc net.Conn, id string) { sendEndless(nc, hostileHead(id)+"\r\n") },
	func(nc net.Conn, _ string) { _, _ = io.WriteString(nc, "no answer\r\n\r\n") },
	func(nc net.Conn, id string) {
		_, _ = io.WriteString(nc, hostileHead(id)+"Content-Length: 100\r\n\r\nhalf")
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	},
}

// hostileHead returns the head of an answer to a request without the line that ends it.
func hostileHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\n", headerID, id, headerSeal)
}

// hostileText is what endless answers send.
var hostileText = strings.Repeat("x", hostileBlock)

// sendEndless sends a head and then bytes until the connection ends.
func sendEndless(nc net.Conn, head string) {
	for _, err := io.WriteString(nc, head); err == nil; _, err = io.WriteString(nc, hostileText) {
		time.Sleep(hostilePause)
	}
}

// hostileLoad is an entry node with sound and hostile servers over the loopback interface.
type hostileLoad struct {
	tb     testing.TB
	source *testSource
	entry  string
	client *http.Client
	number atomic.Int64
}

// newHostileLoad starts the entry node and the servers.
func newHostileLoad(tb testing.TB) *hostileLoad {
	hl := &hostileLoad{
		tb: tb, source: &testSource{changed: make(chan struct{}), epoch: 1}, entry: fakes.FreeAddress(tb),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
	}
	hl.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: hostileTable()})
	for number := range hostileServers {
		hl.serve("hostile", number, hostileAnswers[number%len(hostileAnswers)])
	}
	for number := range soundServers {
		hl.serve("sound", number, func(nc net.Conn, id string) {
			_, _ = io.WriteString(nc, hostileHead(id)+"Content-Length: 4\r\nConnection: close\r\n\r\ngood")
		})
	}
	app := direct.New(direct.Options{
		Settings: conf.DirectEntrySettings{
			Place: conf.Place{Name: "entry", Region: "region-1", Zone: directZone}, CallerAddress: hl.entry, ReadyAddress: fakes.FreeAddress(tb),
			PeerAddress: fakes.FreeAddress(tb), AgentPort: 7, LogAddress: "log:1", StopMs: 3000, LeaveMs: 2500, VersionMs: 5000, RoutesMs: 2500,
			RetryShare: 0.2, RetryWindowMs: 10_000, RetrySlack: 100, Regions: conf.DirectEntrySettingsRegions{directZone: "region-1"},
		},
		Network: &proc.Network{}, LogReader: hl.source, Protocol: testProtocol{}, Logger: zerolog.Nop(),
	})
	if err := app.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = app.Stop(context.Background()) })
	time.Sleep(2 * time.Second)
	return hl
}

// hostileTable returns routes to the services.
func hostileTable() *paths.Table {
	route := func(service string) paths.Route {
		return paths.Route{
			Name: service, Host: directHost, Prefix: "/" + service + "/", Kind: paths.Safe, Timeout: 2 * time.Second, AttemptsMax: 2,
			Splits: []paths.Split{{Service: service, Weight: 1}},
		}
	}
	ta := &paths.Table{Version: 1, Services: map[string]paths.Service{}, Limits: paths.Limits{BodyBytes: hostileBodyBytes}}
	for _, service := range []string{"sound", "hostile", "long", "reset", "early", "refused"} {
		ta.Routes = append(ta.Routes, route(service))
		ta.Services[service] = paths.Service{Name: service}
	}
	for _, service := range []string{"reset-events", "early-events"} {
		ro := route(service)
		ro.Kind = paths.Stream
		ta.Routes = append(ta.Routes, ro)
		ta.Services[service] = paths.Service{Name: service}
	}
	return ta.Build()
}

// serve starts a server of a service that answers the first request of each connection.
func (hl *hostileLoad) serve(service string, number int, answer func(nc net.Conn, id string)) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		hl.tb.Fatal(err)
	}
	hl.tb.Cleanup(func() { _ = ls.Close() })
	go func() {
		for nc, err := ls.Accept(); err == nil; nc, err = ls.Accept() {
			go func() {
				defer func() { _ = nc.Close() }()
				head := make([]byte, 4096)
				count, err := nc.Read(head)
				if err != nil {
					return
				}
				_, rest, _ := strings.Cut(string(head[:count]), headerID+": ")
				id, _, _ := strings.Cut(rest, "\r\n")
				answer(nc, id)
			}()
		}
	}()
	hl.source.appendRecord(direct.ServersTopic, direct.LogRecord{Server: &roster.Server{
		ID: fmt.Sprintf("%s-%d", service, number), Service: service, Address: ls.Addr().String(), Zone: directZone, Places: 400, Born: 1,
	}})
}

// run sends requests to the sound service, and to the hostile one too if hostile is set. It returns the
// times of the whole answers of the sound one and the most memory that was in use, in bytes.
func (hl *hostileLoad) run(hostile bool) ([]time.Duration, uint64) {
	mu, wg, times, peak := sync.Mutex{}, sync.WaitGroup{}, []time.Duration(nil), uint64(0)
	runtime.GC()
	for begin, sent := time.Now(), 0; time.Since(begin) < hostileTime; sent++ {
		time.Sleep(time.Until(begin.Add(time.Duration(sent) * time.Second / hostileRate)))
		wg.Go(func() {
			if took, ok := hl.send("sound"); ok {
				mu.Lock()
				times = append(times, took)
				mu.Unlock()
			}
		})
		if hostile {
			wg.Go(func() { hl.send("hostile") })
		}
		if sent%20 == 0 {
			ms := runtime.MemStats{}
			runtime.ReadMemStats(&ms)
			peak = max(peak, ms.HeapInuse)
		}
	}
	wg.Wait()
	return times, peak
}

// send sends one request, discards the answer, and reports how long it took and whether it was whole.
func (hl *hostileLoad) send(service string) (time.Duration, bool) {
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+hl.entry+"/"+service+"/x", nil)
	if err != nil {
		hl.tb.Error(err)
		return 0, false
	}
	rq.Host = directHost
	rq.Header.Set(headerID, fmt.Sprintf("request-%d", hl.number.Add(1)))
	rq.Header.Set(headerTimeout, "2000")
	start := time.Now()
	resp, err := hl.client.Do(rq)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(start), err == nil && resp.StatusCode == http.StatusOK
}

// Callers that do not read long answers must not make the entry node hold more than its bounds, nor keep it
// from answering others; their connections end.
func TestCallersThatDoNotReadHoldBoundedMemory(t *testing.T) {
	hl := newHostileLoad(t)
	sent, block := atomic.Int64{}, []byte(hostileText)
	hl.serve("long", 0, func(nc net.Conn, id string) {
		_, _ = io.WriteString(nc, hostileHead(id)+"\r\n")
		for count, err := nc.Write(block); err == nil; count, err = nc.Write(block) {
			sent.Add(int64(count))
		}
	})
	time.Sleep(time.Second)
	before, callers := heapBytes(), make([]net.Conn, 0, endlessAnswers)
	for number := range endlessAnswers {
		nc, err := net.Dial("tcp", hl.entry)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		_, _ = fmt.Fprintf(nc, "GET /long/x HTTP/1.1\r\nHost: %s\r\n%s: long-%d\r\n%s: 2000\r\n\r\n", directHost, headerID, number, headerTimeout)
		callers = append(callers, nc)
	}
	held, answered := int64(0), 0
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		held = max(held, int64(heapBytes())-int64(before))
		if _, ok := hl.send("sound"); ok {
			answered++
		}
	}
	if answered == 0 {
		t.Error("no sound request was answered beside callers that do not read")
	}
	t.Logf("%d MiB more at most; the server sent %d MiB", held>>20, sent.Load()>>20)
	if sent.Load() < heldMax+heldSlack {
		t.Errorf("the server sent %d MiB only, want more than the bound", sent.Load()>>20)
	}
	if held > heldMax+heldSlack {
		t.Errorf("%d callers that do not read take %d MiB, want at most %d", endlessAnswers, held>>20, (heldMax+heldSlack)>>20)
	}
	for _, nc := range callers {
		_ = nc.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := io.Copy(io.Discard, nc); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the connection of a caller that does not read stays open")
		}
	}
}

// BenchmarkHostile measures what hostile servers cost an entry node in memory, and the requests to sound
// servers in time.
func BenchmarkHostile(b *testing.B) {
	for b.Loop() {
		hl := newHostileLoad(b)
		calm, calmPeak := hl.run(false)
		times, peak := hl.run(true)
		if len(calm) == 0 || len(times) == 0 {
			b.Fatal("no sound request was answered")
		}
		b.ReportMetric(float64(calmPeak)/(1<<20), "MiB-calm")
		b.ReportMetric(float64(peak)/(1<<20), "MiB-hostile")
		b.ReportMetric(float64(percentile(calm, 99).Microseconds())/1000, "ms-p99-calm")
		b.ReportMetric(float64(percentile(times, 99).Microseconds())/1000, "ms-p99-hostile")
		b.ReportMetric(float64(len(times))/float64(len(calm)), "answered-share")
	}
}
