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

// Header names of the simplified protocol of these tests, and the name of the model.
const (
	headerID        = "T-Id"
	headerTimeout   = "T-Wait"
	headerAdapter   = "T-Adapter"
	headerServer    = "T-Server"
	headerSeal      = "T-Seal"
	headerNotRun    = "T-Not-Run"
	headerLastEvent = "T-Last"
	headerResumes   = "T-Resumes"
	headerTimeLeft  = "T-Left"
	headerLimit     = "T-Limit"
	headerLeaving   = "T-Leaving"
	headerParts     = "T-Parts"
	headerKey       = "T-Key"
	headerSender    = "T-Sender"
	headerRank      = "T-Rank"
	testModel       = "base"
)

// testProtocol implements direct.Protocol with the headers above.
type testProtocol struct{}

func (testProtocol) RequestInfo(rq *http.Request) (direct.RequestInfo, error) {
	ri := direct.RequestInfo{ID: rq.Header.Get(headerID), Adapter: rq.Header.Get(headerAdapter), LastEvent: rq.Header.Get(headerLastEvent), Resumes: rq.Header.Get(headerResumes), Key: rq.Header.Get(headerKey)}
	if ri.ID == "" {
		return ri, fmt.Errorf("request has no %s header", headerID)
	}
	if ri.Adapter != "" {
		ri.Model, ri.PromptTokens, ri.OutputTokens = testModel, 500, 20
	}
	if parts := strings.Split(rq.Header.Get(headerParts), ","); len(parts) > 1 {
		ri.PromptParts = parts[:len(parts)-1]
	}
	millis, _ := strconv.Atoi(rq.Header.Get(headerTimeout))
	ri.CallerTimeout = time.Duration(millis) * time.Millisecond
	return ri, nil
}

func (testProtocol) Header(caller http.Header, _ *direct.RequestInfo, fi *direct.ForwardInfo) http.Header {
	hd := caller.Clone()
	hd.Set(headerServer, fi.Server)
	hd.Set(headerTimeLeft, strconv.FormatInt(fi.TimeLeft.Milliseconds(), 10))
	if fi.LastEvent != "" {
		hd.Set(headerLastEvent, fi.LastEvent)
	}
	if fi.Identified {
		hd.Del(headerKey)
		hd.Set(headerSender, fi.Organisation)
		hd.Set(headerRank, strconv.Itoa(fi.Rank))
	}
	return hd
}

func (testProtocol) MatchesRequest(hd http.Header, ri *direct.RequestInfo, _ bool) bool {
	return hd.Get(headerID) == ri.ID
}

func (testProtocol) AnswerKind(status int, hd http.Header, server string) direct.AnswerKind {
	switch {
	case status == http.StatusMisdirectedRequest && hd.Get(headerServer) != server:
		return direct.Replaced
	case status == http.StatusMisdirectedRequest:
		return direct.Misdirected
	case hd.Get(headerNotRun) != "":
		return direct.NotRun
	case hd.Get(headerSeal) == "":
		return direct.Foreign
	}
	return direct.Genuine
}

func (testProtocol) Demands(status int, hd http.Header) (direct.Demands, error) {
	de := direct.Demands{Leaving: hd.Get(headerLeaving) != ""}
	if limit, err := strconv.ParseFloat(hd.Get(headerLimit), 64); err == nil {
		de.Limited, de.Limit = true, limit
	}
	if seconds, err := strconv.ParseFloat(hd.Get("Retry-After"), 64); err == nil && status == http.StatusServiceUnavailable {
		de.Pause = time.Duration(seconds * float64(time.Second))
	}
	return de, nil
}

// reportTarget is where servers say what they know of themselves: the start of their run.
const reportTarget = "/report"

func (testProtocol) ReportTarget() string { return reportTarget }

func (testProtocol) ReportedRun(status int, report []byte) (int64, error) {
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d instead of a report", status)
	}
	return strconv.ParseInt(string(report), 10, 64)
}

// report returns what the server says of itself, and whether a request asks for that.
func (ba *backend) report(rq *http.Request) (string, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return strconv.FormatInt(ba.born, 10), rq.RequestURI == reportTarget
}

// testSource implements direct.Source in memory.
type testSource struct {
	mu      sync.Mutex
	records [2][]direct.LogRecord
	changed chan struct{}
	down    bool
	// returnsNothing makes reads return at once with no records and the end offset 0, as from a
	// log whose end is behind the records that it returned before.
	returnsNothing bool
	reads          int
	// epoch rises with each restore.
	epoch int64
}

// appendRecord appends a record and wakes waiting reads.
func (so *testSource) appendRecord(to direct.Topic, lr direct.LogRecord) {
	so.appendWithoutWaking(to, lr)
	so.mu.Lock()
	defer so.mu.Unlock()
	close(so.changed)
	so.changed = make(chan struct{})
}

// appendWithoutWaking appends a record without waking waiting reads.
func (so *testSource) appendWithoutWaking(to direct.Topic, lr direct.LogRecord) {
	so.mu.Lock()
	defer so.mu.Unlock()
	lr.Offset = int64(len(so.records[to]))
	so.records[to] = append(so.records[to], lr)
}

// copyLengths returns the numbers of records as of now, for restore.
func (so *testSource) copyLengths() [2]int {
	so.mu.Lock()
	defer so.mu.Unlock()
	return [2]int{len(so.records[direct.OperatorsTopic]), len(so.records[direct.ServersTopic])}
}

// restore replaces the log by a copy from the time at which copyLengths returned the lengths. Records
// since then are lost, and their offsets are given out again.
func (so *testSource) restore(lengths [2]int) {
	so.mu.Lock()
	defer so.mu.Unlock()
	for to := range so.records {
		so.records[to] = append([]direct.LogRecord(nil), so.records[to][:lengths[to]]...)
	}
	so.epoch++
	close(so.changed)
	so.changed = make(chan struct{})
}

// setEpoch sets the epoch that answers state.
func (so *testSource) setEpoch(epoch int64) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.epoch = epoch
}

// setDown sets whether reads of the log fail.
func (so *testSource) setDown(down bool) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.down = down
}

// ReadNewest returns the newest record of each key alone, without those of removed servers.
func (so *testSource) ReadNewest(ctx context.Context, to direct.Topic) (direct.LogBatch, error) {
	ba, err := so.After(ctx, to, 0, 0)
	newest := map[string]int{}
	for ix := range ba.Records {
		newest[recordKey(&ba.Records[ix])] = ix
	}
	kept := make([]direct.LogRecord, 0, len(newest))
	for ix := range ba.Records {
		if lr := &ba.Records[ix]; newest[recordKey(lr)] == ix && lr.RemovedServer == "" {
			kept = append(kept, *lr)
		}
	}
	ba.Records = kept
	return ba, err
}

// recordKey returns the key of a record in its topic.
func recordKey(lr *direct.LogRecord) string {
	switch {
	case lr.Version != nil:
		return "version/" + lr.Version.Model + "." + lr.Version.Adapter
	case lr.Server != nil:
		return "server/" + lr.Server.ID
	case lr.RemovedServer != "":
		return "server/" + lr.RemovedServer
	}
	return "routes"
}

func (so *testSource) After(ctx context.Context, to direct.Topic, from int64, wait time.Duration) (direct.LogBatch, error) {
	end := time.Now().Add(wait)
	for {
		so.mu.Lock()
		so.reads++
		list, changed, down, returnsNothing, epoch := so.records[to], so.changed, so.down, so.returnsNothing, so.epoch
		so.mu.Unlock()
		switch {
		case down:
			return direct.LogBatch{}, fmt.Errorf("log is down")
		case returnsNothing:
			return direct.LogBatch{End: 0, Epoch: epoch}, nil
		case int(from) > len(list):
			return direct.LogBatch{Epoch: epoch}, direct.ErrExpired
		case int(from) < len(list) || !time.Now().Before(end):
			return direct.LogBatch{Records: list[min(int(from), len(list)):], End: int64(len(list)), Epoch: epoch}, nil
		}
		select {
		case <-ctx.Done():
			return direct.LogBatch{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(end)):
		}
	}
}

// plentyOfMemory is an engine's memory in which no request waits, in tokens.
const plentyOfMemory = 100_000

// backend is a backend server whose responses a test can script.
type backend struct {
	id string

	mu sync.Mutex
	// script writes the response; nil stands for defaultAnswer.
	script   func(wr http.ResponseWriter, rq *http.Request)
	requests []string
	canceled int
	loaded   map[string]int
	seq      int64
	// memoryTokens is the engine's memory, zero for plentyOfMemory.
	memoryTokens int
	// born is the start of the server's present run, zero while it is down.
	born int64
	// announcedID, service, model and software are those that the server announces; httpServer is that of its
	// present run.
	announcedID, service, model, software string
	httpServer                            *http.Server
}

// setScript sets the function that writes the responses.
func (ba *backend) setScript(fn func(wr http.ResponseWriter, rq *http.Request)) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.script = fn
}

// ServeHTTP records a request and answers it by the script.
func (ba *backend) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	body, _ := io.ReadAll(rq.Body)
	if report, ok := ba.report(rq); ok {
		_, _ = io.WriteString(wr, report)
		return
	}
	ba.mu.Lock()
	ba.requests = append(ba.requests, rq.Header.Get(headerID)+" "+rq.Method+" "+rq.RequestURI+" "+string(body))
	script := ba.script
	ba.mu.Unlock()
	if script == nil {
		script = defaultAnswer
	}
	script(wr, rq)
	if rq.Context().Err() != nil {
		ba.mu.Lock()
		ba.canceled++
		ba.mu.Unlock()
	}
}

// receivedRequests returns ID, method, target and body of each request that the server received.
func (ba *backend) receivedRequests() []string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return append([]string(nil), ba.requests...)
}

// canceledRequests returns the number of requests that were canceled while the server handled them.
func (ba *backend) canceledRequests() int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.canceled
}

// Inspect implements the EngineClient interface of the agent: it reports the loaded adapters.
func (ba *backend) Inspect(context.Context) (grant.Observation, error) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if ba.born == 0 {
		return grant.Observation{}, errConnectionRefused
	}
	mo := grant.Model{Name: testModel, Adapters: map[string]int{}}
	for name, version := range ba.loaded {
		mo.Adapters[name] = version
	}
	memory := ba.memoryTokens
	if memory == 0 {
		memory = plentyOfMemory
	}
	return grant.Observation{Born: ba.born, Models: []grant.Model{mo}, Sequence: ba.seq, MemoryTotal: memory, Coming: map[grant.Key]int{}}, nil
}

// Order implements the EngineClient interface of the agent: it loads or unloads an adapter.
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

// writeSealHeaders sets the headers that mark a response as written by the backend server itself, and the type of a
// stream if the request names an adapter.
func writeSealHeaders(wr http.ResponseWriter, rq *http.Request) {
	if rq.Header.Get(headerAdapter) != "" {
		wr.Header().Set("Content-Type", "text/event-stream")
	}
	wr.Header().Set(headerID, rq.Header.Get(headerID))
	wr.Header().Set(headerSeal, "yes")
}

// defaultAnswer writes a stream of ten events if the request names an adapter, else a short body.
func defaultAnswer(wr http.ResponseWriter, rq *http.Request) {
	writeSealHeaders(wr, rq)
	if rq.Header.Get(headerAdapter) == "" {
		_, _ = io.WriteString(wr, "the whole answer")
		return
	}
	writeEvents(wr, rq, 10)
}

// streamEventCount is the number of events of a complete stream.
const streamEventCount = 10

// writeEvents writes the events that follow the request's last event ID, up to the number until.
func writeEvents(wr http.ResponseWriter, rq *http.Request, until int) {
	last, _ := strconv.Atoi(rq.Header.Get(headerLastEvent))
	fl := http.NewResponseController(wr)
	for number := last + 1; number <= until; number++ {
		time.Sleep(20 * time.Millisecond)
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: event %d\n\n", number, number); err != nil {
			return
		}
		_ = fl.Flush()
	}
}

// answerNotRun answers 503 with the header that says that the request did not run.
func answerNotRun(wr http.ResponseWriter, rq *http.Request) {
	wr.Header().Set(headerID, rq.Header.Get(headerID))
	wr.Header().Set(headerNotRun, "1")
	wr.WriteHeader(http.StatusServiceUnavailable)
}

// hijack takes over the connection of a request, lets fn write to it and closes it.
func hijack(wr http.ResponseWriter, fn func(bw *bufio.ReadWriter)) {
	co, bw, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	fn(bw)
	_ = bw.Flush()
	_ = co.Close()
}

// directSimulation is a deployment in virtual time whose entry nodes send requests to the backend
// servers themselves.
type directSimulation struct {
	tb       testing.TB
	net      *network
	source   *testSource
	backends map[string]*backend
	// readers holds the log as single entry nodes see it, by name; others see source.
	readers map[string]direct.LogReader
	// network is that of entry nodes that are started from now on, nil for the one of their host.
	network direct.Network
	// tune changes the settings of entry nodes that are started from now on, nil for none.
	tune func(se *conf.DirectEntrySettings)
	// renamed makes crashed servers start again under other IDs.
	renamed bool
	// mu guards apps while several programs are started at once.
	mu   sync.Mutex
	apps []*fx.App
	// agents holds the programs of the agents by the names of their engines.
	agents map[string]*fx.App
	lg     zerolog.Logger
}

const (
	directZone = "zone-1"
	directHost = "shop.example"
)

// newDirectSimulation starts plain servers, engines with their agents and one entry node, and waits
// until the entry node is ready.
func newDirectSimulation(tb testing.TB, plain, engines int) *directSimulation {
	tb.Helper()
	ds := &directSimulation{
		tb: tb, net: newNetwork(time.Millisecond), source: &testSource{changed: make(chan struct{}), epoch: 1}, backends: map[string]*backend{},
		readers: map[string]direct.LogReader{}, agents: map[string]*fx.App{}, lg: zerolog.Nop(),
	}
	if os.Getenv("PROOF_LOG") != "" {
		ds.lg = logs.New(os.Stderr, zerolog.DebugLevel, "simulation", "")
	}
	ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: routeTable(1)})
	for ix := range plain {
		ds.startServer(fmt.Sprintf("plain-%d", ix), "ledger", "")
	}
	for ix := range engines {
		ds.startServer(fmt.Sprintf("engine-%d", ix), "advice", testModel)
	}
	ds.startEntry("entry-1")
	return ds
}

// routeTable returns the route table of the tests with a version.
func routeTable(version int64) *paths.Table {
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

// announceServer appends a record about a backend server to the log.
func (ds *directSimulation) announceServer(id, service, model string, leaving bool) {
	ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{Server: &roster.Server{
		ID: ds.backends[id].announcedID, Service: service, Address: id + ":1", Zone: directZone, Places: 4, Born: ds.backends[id].bornAt(), Software: ds.backends[id].softwareVersion(), Model: model, Leaving: leaving,
	}})
}

// bornAt returns the start of the server's present run.
func (ba *backend) bornAt() int64 {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.born
}

// softwareVersion returns the version of the software of the server's present run.
func (ba *backend) softwareVersion() string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.software
}

// listen starts a run of a backend server.
func (ds *directSimulation) listen(ba *backend) {
	ls, err := ds.net.forHost(ba.id).Listen(ba.id + ":1")
	if err != nil {
		ds.tb.Error(err)
		return
	}
	sv := &http.Server{Handler: ba}
	ba.mu.Lock()
	ba.httpServer = sv
	ba.mu.Unlock()
	go func() { _ = sv.Serve(ls) }()
}

// crashServer ends a run of a backend server without notice: its connections break, and new ones are
// refused until it starts again after downtime with nothing loaded, under the same ID unless renamed is
// set.
func (ds *directSimulation) crashServer(id string, downtime time.Duration) {
	ba := ds.backends[id]
	ba.mu.Lock()
	born := ba.born
	ba.born, ba.seq, ba.loaded = 0, 0, map[string]int{}
	sv := ba.httpServer
	ba.mu.Unlock()
	if born == 0 {
		return
	}
	_ = sv.Close()
	go func() {
		time.Sleep(downtime)
		ba.mu.Lock()
		ba.born = born + 1
		previous := ba.announcedID
		if ds.renamed {
			ba.announcedID = fmt.Sprintf("%s-run-%d", id, ba.born)
		}
		ba.mu.Unlock()
		ds.listen(ba)
		if ds.renamed {
			ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: previous})
		}
		ds.announceServer(id, ba.service, ba.model, false)
	}()
}

// startServer starts a backend server and, if it is an engine, its agent.
func (ds *directSimulation) startServer(id, service, model string) {
	ba := &backend{id: id, announcedID: id, loaded: map[string]int{}, born: 1, service: service, model: model}
	ds.backends[id] = ba
	ds.listen(ba)
	ds.tb.Cleanup(func() { _ = ba.httpServer.Close() })
	ds.announceServer(id, service, model, false)
	if model == "" {
		return
	}
	ds.startAgent(ba)
}

// startAgent starts the agent beside an engine.
func (ds *directSimulation) startAgent(ba *backend) {
	id := ba.id
	app := agentdirect.New(agentdirect.Options{
		Settings: conf.DirectAgentSettings{
			Place: conf.Place{Name: id, Region: "region-1", Zone: directZone}, ListenAddress: id + ":7", BackendAddress: id + ":1",
		},
		Network: ds.net.forHost(id), Engine: ba, Logger: ds.lg.With().Str("node", "agent-"+id).Logger(),
	})
	ds.agents[id] = app
	ds.start(app)
}

// restartAgent stops the agent beside an engine and starts it again with nothing known.
func (ds *directSimulation) restartAgent(id string) {
	_ = ds.agents[id].Stop(context.Background())
	ds.startAgent(ds.backends[id])
}

// startEntry starts an entry node and gives it 1.5 s to become ready.
func (ds *directSimulation) startEntry(name string) *fx.App {
	logReader := ds.readers[name]
	if logReader == nil {
		logReader = ds.source
	}
	se := conf.DirectEntrySettings{
		Place: conf.Place{Name: name, Region: "region-1", Zone: directZone}, CallerAddress: name + ":1", ReadyAddress: name + ":2",
		PeerAddress: name + ":3", Peers: []string{"entry-1:3", "entry-2:3"}, AgentPort: 7, LogAddress: "log:1", StopMs: 8000,
		LeaveMs: 2500, VersionMs: 5000, RoutesMs: 2500, RetryShare: 0.2, RetryWindowMs: 10_000, RetrySlack: 2000,
		Regions: conf.DirectEntrySettingsRegions{directZone: "region-1"},
	}
	if ds.tune != nil {
		ds.tune(&se)
	}
	network := direct.Network(ds.net.forHost(name))
	if ds.network != nil {
		network = ds.network
	}
	app := direct.New(direct.Options{
		Settings: se,
		Network:  network, LogReader: logReader, Protocol: testProtocol{}, Logger: ds.lg.With().Str("node", name).Logger(),
	})
	ds.start(app)
	time.Sleep(1500 * time.Millisecond)
	return app
}

// start starts a program, which close stops.
func (ds *directSimulation) start(app *fx.App) {
	if err := app.Start(context.Background()); err != nil {
		ds.tb.Fatal(err)
	}
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.apps = append(ds.apps, app)
}

// close stops all programs and ends all connections.
func (ds *directSimulation) close() {
	for _, app := range ds.apps {
		_ = app.Stop(context.Background())
	}
	ds.net.close()
	time.Sleep(time.Minute)
}

// directReply is the response that a caller received.
type directReply struct {
	status int
	header http.Header
	body   string
	// err is set if the response is missing or incomplete.
	err  error
	took time.Duration
}

// directCaller sends requests to an entry node.
type directCaller struct {
	ds     *directSimulation
	client *http.Client
	entry  string
	count  int
	// key is the key of the caller's organisation, empty for none.
	key string
}

// newCaller returns a caller that reuses its connections.
func (ds *directSimulation) newCaller(entry string) *directCaller {
	return &directCaller{ds: ds, entry: entry, client: &http.Client{Transport: &http.Transport{
		DialContext: ds.net.forHost("caller").DialContext, DisableCompression: true,
	}}}
}

// send sends one request and reads the whole response.
func (cl *directCaller) send(ctx context.Context, method, target, adapter, body string) directReply {
	cl.count++
	return cl.sendAs(ctx, fmt.Sprintf("id-%d", cl.count), method, target, adapter, body)
}

// sendAs sends one request with an ID and reads the whole response.
func (cl *directCaller) sendAs(ctx context.Context, id, method, target, adapter, body string) directReply {
	return cl.sendPrompt(ctx, id, method, target, adapter, body, "")
}

// sendPrompt sends one request with an ID whose prompt has the given parts, separated by commas, and reads
// the whole response.
func (cl *directCaller) sendPrompt(ctx context.Context, id, method, target, adapter, body, parts string) directReply {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+cl.entry+":1/", strings.NewReader(body))
	if err != nil {
		cl.ds.tb.Fatal(err)
	}
	rq.URL.Opaque = target
	rq.Host = directHost
	rq.Header.Set(headerID, id)
	rq.Header.Set(headerTimeout, "4000")
	if adapter != "" {
		rq.Header.Set(headerAdapter, adapter)
	}
	if parts != "" {
		rq.Header.Set(headerParts, parts)
	}
	if cl.key != "" {
		rq.Header.Set(headerKey, cl.key)
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

// completeStream returns the body of a complete stream.
func completeStream() string {
	text := strings.Builder{}
	for number := 1; number <= streamEventCount; number++ {
		fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", number, number)
	}
	return text.String()
}

// encodeChunk encodes text as one chunk of a body with Transfer-Encoding: chunked.
func encodeChunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}
