package proofs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	agentdirect "github.com/bambooladder/bambooladder/agent/direct"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/logs"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/direct"
)

// Names of the small protocol that the tests speak.
const (
	testID      = "T-Id"
	testWait    = "T-Wait"
	testAdapter = "T-Adapter"
	testServer  = "T-Server"
	testSeal    = "T-Seal"
	testNotRun  = "T-Not-Run"
	testLast    = "T-Last"
	testLeft    = "T-Left"
	testModel   = "base"
)

// testProtocol implements direct.Protocol.
type testProtocol struct{}

func (testProtocol) RequestInfo(rq *http.Request) (direct.RequestInfo, error) {
	ca := direct.RequestInfo{ID: rq.Header.Get(testID), Adapter: rq.Header.Get(testAdapter), LastEvent: rq.Header.Get(testLast)}
	if ca.ID == "" {
		return ca, fmt.Errorf("the request has no %s", testID)
	}
	if ca.Adapter != "" {
		ca.Model, ca.PromptTokens, ca.OutputTokens = testModel, 500, 20
	}
	millis, _ := strconv.Atoi(rq.Header.Get(testWait))
	ca.CallerTimeout = time.Duration(millis) * time.Millisecond
	return ca, nil
}

func (testProtocol) Header(caller http.Header, _ *direct.RequestInfo, se *direct.ForwardInfo) http.Header {
	hd := caller.Clone()
	hd.Set(testServer, se.Server)
	hd.Set(testLeft, strconv.FormatInt(se.TimeLeft.Milliseconds(), 10))
	if se.LastEvent != "" {
		hd.Set(testLast, se.LastEvent)
	}
	return hd
}

func (testProtocol) MatchesRequest(hd http.Header, ca *direct.RequestInfo) bool {
	return hd.Get(testID) == ca.ID
}

func (testProtocol) AnswerKind(status int, hd http.Header, server string) direct.AnswerKind {
	switch {
	case status == http.StatusMisdirectedRequest && hd.Get(testServer) != server:
		return direct.Replaced
	case status == http.StatusMisdirectedRequest:
		return direct.Misdirected
	case hd.Get(testNotRun) != "":
		return direct.NotRun
	case hd.Get(testSeal) == "":
		return direct.Foreign
	}
	return direct.Genuine
}

// testSource implements direct.Source in memory.
type testSource struct {
	mu      sync.Mutex
	changes [2][]direct.LogRecord
	changed chan struct{}
	down    bool
	// behind makes reads answer at once with nothing, as a log that is behind itself.
	behind bool
	reads  int
}

// put appends a record.
func (so *testSource) put(to direct.Topic, ch direct.LogRecord) {
	so.putUnheard(to, ch)
	so.mu.Lock()
	defer so.mu.Unlock()
	close(so.changed)
	so.changed = make(chan struct{})
}

// putUnheard appends a record that wakes no waiting read.
func (so *testSource) putUnheard(to direct.Topic, ch direct.LogRecord) {
	so.mu.Lock()
	defer so.mu.Unlock()
	ch.Offset = int64(len(so.changes[to]))
	so.changes[to] = append(so.changes[to], ch)
}

// setDown makes the log refuse reads.
func (so *testSource) setDown(down bool) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.down = down
}

func (so *testSource) ReadNewest(ctx context.Context, to direct.Topic) (direct.LogBatch, error) {
	return so.After(ctx, to, 0, 0)
}

func (so *testSource) After(ctx context.Context, to direct.Topic, from int64, wait time.Duration) (direct.LogBatch, error) {
	end := time.Now().Add(wait)
	for {
		so.mu.Lock()
		so.reads++
		list, changed, down, behind := so.changes[to], so.changed, so.down, so.behind
		so.mu.Unlock()
		switch {
		case down:
			return direct.LogBatch{}, fmt.Errorf("the log is down")
		case behind:
			return direct.LogBatch{End: 0}, nil
		case int(from) < len(list) || !time.Now().Before(end):
			return direct.LogBatch{Records: list[min(int(from), len(list)):], End: int64(len(list))}, nil
		}
		select {
		case <-ctx.Done():
			return direct.LogBatch{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(end)):
		}
	}
}

// backend is a scripted backend server.
type backend struct {
	id string

	mu sync.Mutex
	// script answers; nil stands for a usual answer.
	script func(wr http.ResponseWriter, rq *http.Request)
	ran    []string
	gone   int
	loaded map[string]int
	seq    int64
}

// setScript sets how the server answers.
func (ba *backend) setScript(fn func(wr http.ResponseWriter, rq *http.Request)) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.script = fn
}

// ServeHTTP answers one request.
func (ba *backend) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	body, _ := io.ReadAll(rq.Body)
	ba.mu.Lock()
	ba.ran = append(ba.ran, rq.Header.Get(testID)+" "+rq.Method+" "+rq.RequestURI+" "+string(body))
	script := ba.script
	ba.mu.Unlock()
	if script == nil {
		script = usual
	}
	script(wr, rq)
	if rq.Context().Err() != nil {
		ba.mu.Lock()
		ba.gone++
		ba.mu.Unlock()
	}
}

// runs returns what the server was asked.
func (ba *backend) runs() []string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return append([]string(nil), ba.ran...)
}

// left returns the number of requests whose caller went while the server worked.
func (ba *backend) left() int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.gone
}

// Inspect implements the agent's engine.
func (ba *backend) Inspect(context.Context) (grant.Observation, error) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	mo := grant.Model{Name: testModel, Adapters: map[string]int{}}
	for name, version := range ba.loaded {
		mo.Adapters[name] = version
	}
	return grant.Observation{Born: 1, Models: []grant.Model{mo}, Sequence: ba.seq, MemoryTotal: 100_000, Coming: map[grant.Key]int{}}, nil
}

// Order implements the agent's engine.
func (ba *backend) Order(_ context.Context, or grant.Order) grant.Result {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if or.Sequence != ba.seq {
		return grant.Conflict
	}
	ba.seq++
	if or.Operation == grant.UnloadAdapter {
		delete(ba.loaded, or.Key.Adapter)
		return grant.InEffect
	}
	ba.loaded[or.Key.Adapter] = max(1, or.Version)
	return grant.Accepted
}

// seal writes the headers of a server's own answer.
func seal(wr http.ResponseWriter, rq *http.Request) {
	wr.Header().Set(testID, rq.Header.Get(testID))
	wr.Header().Set(testSeal, "yes")
}

// usual answers in a usual way: a stream of ten events where an adapter is named.
func usual(wr http.ResponseWriter, rq *http.Request) {
	seal(wr, rq)
	if rq.Header.Get(testAdapter) == "" {
		_, _ = io.WriteString(wr, "the whole answer")
		return
	}
	events(wr, rq, 10)
}

// streamEvents is the number of events of a whole stream.
const streamEvents = 10

// events writes the events of a stream after the one that the request names, up to a number.
func events(wr http.ResponseWriter, rq *http.Request, until int) {
	last, _ := strconv.Atoi(rq.Header.Get(testLast))
	fl := http.NewResponseController(wr)
	for number := last + 1; number <= until; number++ {
		time.Sleep(20 * time.Millisecond)
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: event %d\n\n", number, number); err != nil {
			return
		}
		_ = fl.Flush()
	}
}

// notRun says that a request has not run.
func notRun(wr http.ResponseWriter, rq *http.Request) {
	wr.Header().Set(testID, rq.Header.Get(testID))
	wr.Header().Set(testNotRun, "1")
	wr.WriteHeader(http.StatusServiceUnavailable)
}

// raw takes over the connection of a request.
func raw(wr http.ResponseWriter, fn func(bw *bufio.ReadWriter)) {
	co, bw, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	fn(bw)
	_ = bw.Flush()
	_ = co.Close()
}

// directWorld is a deployment whose entry nodes send requests themselves.
type directWorld struct {
	tb       testing.TB
	net      *network
	source   *testSource
	backends map[string]*backend
	apps     []*fx.App
	lg       zerolog.Logger
}

const (
	directZone = "zone-1"
	directHost = "shop.example"
)

// newDirectWorld starts one entry node, plain servers and engines, and waits until it is ready.
func newDirectWorld(tb testing.TB, plain, engines int) *directWorld {
	tb.Helper()
	dw := &directWorld{
		tb: tb, net: newNetwork(time.Millisecond), source: &testSource{changed: make(chan struct{})}, backends: map[string]*backend{}, lg: zerolog.Nop(),
	}
	if os.Getenv("PROOF_LOG") != "" {
		dw.lg = logs.New(os.Stderr, zerolog.DebugLevel, "world", "")
	}
	dw.source.put(direct.OperatorsTopic, direct.LogRecord{Table: directTable(1)})
	for ix := range plain {
		dw.startServer(fmt.Sprintf("plain-%d", ix), "ledger", "")
	}
	for ix := range engines {
		dw.startServer(fmt.Sprintf("engine-%d", ix), "advice", testModel)
	}
	dw.startEntry("entry-1")
	return dw
}

// directTable returns the routes of the tests.
func directTable(version int64) *paths.Table {
	route := func(prefix string, ki paths.Kind, service string, attempts int, resumable bool) paths.Route {
		return paths.Route{
			Name: prefix, Host: directHost, Prefix: prefix, Kind: ki, Timeout: 5 * time.Second, AttemptsMax: attempts, Resumable: resumable,
			Splits: []paths.Split{{Service: service, Weight: 1}},
		}
	}
	return (&paths.Table{
		Version: version, Limits: paths.Limits{BodyBytes: 1000},
		Routes: []paths.Route{
			route("/safe/", paths.Safe, "ledger", 2, false), route("/unsafe/", paths.Unsafe, "ledger", 1, false),
			route("/stream/", paths.Stream, "advice", 2, true), route("/once/", paths.Stream, "advice", 1, false),
		},
		Services: map[string]paths.Service{
			"ledger": {Name: "ledger"},
			"advice": {Name: "advice", Engine: true, AdapterSlots: 2, Models: []paths.Model{{Name: testModel}}},
		},
	}).Build()
}

// record tells of a server in the log.
func (dw *directWorld) record(id, service, model string, leaving bool) {
	dw.source.put(direct.ServersTopic, direct.LogRecord{Server: &roster.Server{
		ID: id, Service: service, Address: id + ":1", Zone: directZone, Places: 4, Born: 1, Model: model, Leaving: leaving,
	}})
}

// startServer starts a backend server and, beside an engine, its agent.
func (dw *directWorld) startServer(id, service, model string) {
	ba := &backend{id: id, loaded: map[string]int{}}
	dw.backends[id] = ba
	ls, err := dw.net.on(id).Listen(id + ":1")
	if err != nil {
		dw.tb.Fatal(err)
	}
	sv := &http.Server{Handler: ba}
	go func() { _ = sv.Serve(ls) }()
	dw.tb.Cleanup(func() { _ = sv.Close() })
	dw.record(id, service, model, false)
	if model == "" {
		return
	}
	dw.start(agentdirect.New(agentdirect.Options{
		Settings: conf.DirectAgentSettings{
			Place: conf.Place{Name: id, Region: "region-1", Zone: directZone}, ListenAddress: id + ":7", BackendAddress: id + ":1",
		},
		Network: dw.net.on(id), Engine: ba, Logger: dw.lg.With().Str("node", "agent-"+id).Logger(),
	}))
}

// startEntry starts an entry node.
func (dw *directWorld) startEntry(name string) *fx.App {
	app := direct.New(direct.Options{
		Settings: conf.DirectEntrySettings{
			Place: conf.Place{Name: name, Region: "region-1", Zone: directZone}, CallerAddress: name + ":1", ReadyAddress: name + ":2",
			PeerAddress: name + ":3", Peers: []string{"entry-1:3", "entry-2:3"}, AgentPort: 7, LogAddress: "log:1", StopMs: 8000,
			LeaveMs: 2500, VersionMs: 5000, RoutesMs: 2500, RetryShare: 0.2, RetryWindowMs: 10_000, RetrySlack: 2000,
			Regions: conf.DirectEntrySettingsRegions{directZone: "region-1"},
		},
		Network: dw.net.on(name), LogReader: dw.source, Protocol: testProtocol{}, Logger: dw.lg.With().Str("node", name).Logger(),
	})
	dw.start(app)
	time.Sleep(1500 * time.Millisecond)
	return app
}

// start starts a program.
func (dw *directWorld) start(app *fx.App) {
	if err := app.Start(context.Background()); err != nil {
		dw.tb.Fatal(err)
	}
	dw.apps = append(dw.apps, app)
}

// close stops all programs.
func (dw *directWorld) close() {
	for _, app := range dw.apps {
		_ = app.Stop(context.Background())
	}
	dw.net.close()
	time.Sleep(time.Minute)
}

// directReply is what a caller got.
type directReply struct {
	status int
	header http.Header
	body   string
	// err is set where the answer is not whole.
	err  error
	took time.Duration
}

// directCaller sends requests to an entry node.
type directCaller struct {
	dw     *directWorld
	client *http.Client
	entry  string
	count  int
}

// newCaller returns a caller that keeps its connections.
func (dw *directWorld) newCaller(entry string) *directCaller {
	return &directCaller{dw: dw, entry: entry, client: &http.Client{Transport: &http.Transport{
		DialContext: dw.net.on("caller").DialContext, DisableCompression: true,
	}}}
}

// send sends one request and reads its whole answer.
func (cl *directCaller) send(ctx context.Context, method, target, adapter, body string) directReply {
	cl.count++
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+cl.entry+":1/", strings.NewReader(body))
	if err != nil {
		cl.dw.tb.Fatal(err)
	}
	rq.URL.Opaque = target
	rq.Host = directHost
	rq.Header.Set(testID, fmt.Sprintf("id-%d", cl.count))
	rq.Header.Set(testWait, "4000")
	if adapter != "" {
		rq.Header.Set(testAdapter, adapter)
	}
	start := time.Now()
	resp, err := cl.client.Do(rq)
	if err != nil {
		return directReply{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return directReply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, took: time.Since(start)}
}

// wholeStream is the body of a stream that lacks nothing.
func wholeStream() string {
	text := strings.Builder{}
	for number := 1; number <= streamEvents; number++ {
		fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", number, number)
	}
	return text.String()
}

// chunk frames a part of an answer.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}
