package proofs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	agentnode "github.com/bambooladder/bambooladder/agent/node"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/proc"
	"github.com/bambooladder/bambooladder/core/reply/fakes"
	entrynode "github.com/bambooladder/bambooladder/entry/node"
	"github.com/bambooladder/bambooladder/stand/engine"
	"github.com/bambooladder/bambooladder/stand/hostls"
	"github.com/bambooladder/bambooladder/stand/logsvc"
)

const (
	openStreams    = 10_000
	warmUpRequests = 200
)

// instantStore is a weight store that delivers adapters without delay.
type instantStore struct{}

// Fetch succeeds at once.
func (instantStore) Fetch(context.Context, string, int) int { return http.StatusOK }

// bench is an entry node, an agent and an engine in one process, connected over the loopback
// interface.
type bench struct {
	tb            testing.TB
	engine        string
	entry         string
	adapterHandle string
	client        *http.Client
}

// newBench starts the programs; the engine takes one step of the given duration for each token.
func newBench(tb testing.TB, step time.Duration) *bench {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	en := engine.New(engine.Options{Name: "engine", Model: "base", Slots: 4, BatchSize: 2 * openStreams, StepTime: step}, instantStore{})
	go en.Run(ctx)
	li := hostls.New(0)
	be := &bench{tb: tb, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	be.engine = be.serve(en.Handler())
	logURL, hostsURL := be.serve(logsvc.New(300, time.Hour).Handler()), be.serve(li.Handler())
	agentAddress, callerAddress, adminAddress := fakes.FreeAddress(tb), fakes.FreeAddress(tb), fakes.FreeAddress(tb)
	li.Seed(hostls.Host{Name: "runner", Role: "agent", Address: agentAddress, Region: "region", Zone: "zone"})
	agent := agentnode.New(agentnode.Options{Network: &proc.Network{}, Logger: zerolog.Nop(), Settings: conf.AgentSettings{
		Place: conf.Place{Name: "runner", Region: "region", Zone: "zone"}, ListenAddress: agentAddress, BackendURL: be.engine,
		Kind: conf.AgentSettingsKindEngine, Model: "base", Services: []string{}, Slots: 4, BatchPlaces: 2 * openStreams,
	}})
	entry := entrynode.New(entrynode.Options{Network: &proc.Network{}, Logger: zerolog.Nop(), Settings: conf.EntrySettings{
		Place: conf.Place{Name: "entry", Region: "region", Zone: "zone"}, CallerAddress: callerAddress, AdminAddress: adminAddress,
		LogURL: logURL, HostsURL: hostsURL, BootstrapSha256: tokenHash(rootToken),
	}})
	if err := agent.Start(ctx); err != nil {
		tb.Fatal(err)
	}
	if err := entry.Start(ctx); err != nil {
		tb.Fatal(err)
	}
	be.entry = "http://" + callerAddress
	be.applySettings("http://" + adminAddress)
	be.adapterHandle = "batch-sheet@3#direct"
	if err := en.Load(ctx, be.adapterHandle, "batch-sheet", 3, 0); err != nil {
		tb.Fatal(err)
	}
	return be
}

// serve starts an HTTP server on a free port and returns its URL.
func (be *bench) serve(ha http.Handler) string {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		be.tb.Fatal(err)
	}
	sv := &http.Server{Handler: ha}
	be.tb.Cleanup(func() { _ = sv.Close() })
	go func() { _ = sv.Serve(ls) }()
	return "http://" + ls.Addr().String()
}

// applySettings applies settings with one team and one adapter and waits for the first answer.
func (be *bench) applySettings(admin string) {
	body := `{"id":"first","edits":[
	{"path":"models/base","base":0,"remove":false,"body":{}},
	{"path":"adapters/batch-sheet","base":0,"remove":false,"body":{"model":"base","versions":[3]}},
	{"path":"teams/recipe","base":0,"remove":false,"body":{"adapters":["batch-sheet@3"],"services":[],"urgency":"urgent",
	"limits":{"requests_per_second":0,"burst":0,"in_flight":0},
	"weights":{"load_stall":1,"batch_efficiency":1,"queueing":1,"region_crossing":1},
	"tokens":[{"name":"caller","sha256":"` + tokenHash(callerToken) + `","role":"caller"}]}}]}`
	waitFor(be.tb, "the settings are accepted", func() bool {
		status, _, _ := be.send(admin+"/admin/v1/changes", rootToken, body)
		return status == http.StatusOK
	})
	waitFor(be.tb, "the first request is answered", func() bool {
		status, _, _ := be.send(be.entry+"/v1/chat/completions", callerToken, chatBody("batch-sheet@3", 1, false))
		return status == http.StatusOK
	})
}

// send posts a body and returns status, body and duration of the response.
func (be *bench) send(url, token, body string) (int, string, time.Duration) {
	start := time.Now()
	rq, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	rq.Header.Set("Authorization", "Bearer "+token)
	resp, err := be.client.Do(rq)
	if err != nil {
		be.tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		be.tb.Fatal(err)
	}
	return resp.StatusCode, string(data), time.Since(start)
}

// chatBody returns the body of a chat request for a number of tokens.
func chatBody(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"bench"}]}`, model, stream, tokens)
}

// BenchmarkAdded reports the latency that entry node and agent add. It sends the same request
// alternately to the engine and through the entry node, one at a time.
func BenchmarkAdded(b *testing.B) {
	be := newBench(b, 0)
	for range warmUpRequests {
		be.send(be.engine+"/v1/chat/completions", "", chatBody(be.adapterHandle, 1, false))
		be.send(be.entry+"/v1/chat/completions", callerToken, chatBody("batch-sheet@3", 1, false))
	}
	direct, viaEntry := make([]time.Duration, 0, b.N), make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		_, _, took := be.send(be.engine+"/v1/chat/completions", "", chatBody(be.adapterHandle, 1, false))
		direct = append(direct, took)
		_, _, took = be.send(be.entry+"/v1/chat/completions", callerToken, chatBody("batch-sheet@3", 1, false))
		viaEntry = append(viaEntry, took)
	}
	b.StopTimer()
	for _, percent := range []int{50, 99} {
		added := percentile(viaEntry, percent) - percentile(direct, percent)
		b.ReportMetric(float64(added.Microseconds()), fmt.Sprintf("added-p%d-µs", percent))
		b.ReportMetric(float64(percentile(direct, percent).Microseconds()), fmt.Sprintf("direct-p%d-µs", percent))
	}
}

// percentile returns a percentile of durations.
func percentile(times []time.Duration, percent int) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// BenchmarkRate reports the requests per second of 16 concurrent callers. With GOMAXPROCS=1,
// callers, entry node, agent and engine share one core.
func BenchmarkRate(b *testing.B) {
	be := newBench(b, 0)
	for _, target := range []struct{ name, url, token, model string }{
		{"direct", be.engine, "", be.adapterHandle}, {"through", be.entry, callerToken, "batch-sheet@3"},
	} {
		b.Run(target.name, func(b *testing.B) {
			b.ReportAllocs()
			wg := sync.WaitGroup{}
			work := make(chan struct{})
			for range 16 {
				wg.Go(func() {
					for range work {
						be.send(target.url+"/v1/chat/completions", target.token, chatBody(target.model, 1, false))
					}
				})
			}
			b.ResetTimer()
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkTokens streams 16 and 1024 tokens; the difference shows the cost of one more token.
func BenchmarkTokens(b *testing.B) {
	be := newBench(b, 0)
	for _, tokens := range []int{16, 1024} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				be.send(be.entry+"/v1/chat/completions", callerToken, chatBody("batch-sheet@3", tokens, true))
			}
		})
	}
}

// BenchmarkOpenStreams opens 10,000 streams through an entry node and three agents, each in its own
// process, and reports the resident memory per stream.
func BenchmarkOpenStreams(b *testing.B) {
	de := startDeployment(b, "RUN_ENGINE_FLAGS=--step 3s --places 20000", "RUN_BATCH_PLACES=20000")
	file := filepath.Join(de.dir, "settings.yaml")
	data, err := os.ReadFile(file)
	if err != nil {
		b.Fatal(err)
	}
	unlimited := regexp.MustCompile(`limits: .*`).ReplaceAll(data, []byte("limits: {requests_per_second: 0, burst: 0, in_flight: 0}"))
	unlimited = bytes.Replace(unlimited, []byte("request_timeout_ms: 30000"), []byte("request_timeout_ms: 600000"), 1)
	if err := os.WriteFile(file, unlimited, 0o600); err != nil {
		b.Fatal(err)
	}
	if out, code := de.ctl(b, "apply", "--file", file); code != 0 {
		b.Fatal(out)
	}
	b.ResetTimer()
	for range b.N {
		entryBefore, agentsBefore := de.residentKB(b, "entry-1"), de.residentKB(b, "runner-1", "runner-2", "runner-3")
		de.openStreams(b)
		b.ReportMetric(float64(de.residentKB(b, "entry-1")-entryBefore)*1024/openStreams, "entry-B/stream")
		b.ReportMetric(float64(de.residentKB(b, "runner-1", "runner-2", "runner-3")-agentsBefore)*1024/openStreams, "agents-B/stream")
	}
}

// openStreams opens the streams and returns when each has received its first token.
func (de *deployment) openStreams(tb testing.TB) {
	tb.Helper()
	address := strings.TrimPrefix(de.callers[0], "http://")
	body := chatBody("batch-sheet@3", 100, true)
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", de.token, len(body), body)
	conns := make([]net.Conn, 0, openStreams)
	for range openStreams {
		co, err := net.Dial("tcp", address)
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := io.WriteString(co, request); err != nil {
			tb.Fatal(err)
		}
		conns = append(conns, co)
	}
	first := make([]byte, 512)
	for _, co := range conns {
		if _, err := co.Read(first); err != nil {
			tb.Fatal(err)
		}
		if !bytes.HasPrefix(first, []byte("HTTP/1.1 200")) {
			tb.Fatalf("a stream was refused: %s", first)
		}
	}
	tb.Cleanup(func() {
		for _, co := range conns {
			_ = co.Close()
		}
	})
}

// residentKB returns the sum of the resident memory of processes, in kibibytes.
func (de *deployment) residentKB(tb testing.TB, names ...string) int {
	tb.Helper()
	sum := 0
	for _, name := range names {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", de.processID(tb, name)))
		if err != nil {
			tb.Fatal(err)
		}
		kb := 0
		line := regexp.MustCompile(`VmRSS:\s+(\d+)`).FindSubmatch(data)
		if _, err := fmt.Sscan(string(line[1]), &kb); err != nil {
			tb.Fatal(err)
		}
		sum += kb
	}
	return sum
}
