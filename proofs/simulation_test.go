package proofs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	agentnode "github.com/bambooladder/bambooladder/agent/node"
	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/logs"
	"github.com/bambooladder/bambooladder/core/route"
	entrynode "github.com/bambooladder/bambooladder/entry/node"
	"github.com/bambooladder/bambooladder/stand/engine"
	"github.com/bambooladder/bambooladder/stand/faulty"
	"github.com/bambooladder/bambooladder/stand/hostls"
	"github.com/bambooladder/bambooladder/stand/logsvc"
	"github.com/bambooladder/bambooladder/stand/plain"
	"github.com/bambooladder/bambooladder/stand/weight"
)

const (
	rootToken      = "root-token"
	callerToken    = "caller-token"
	networkLatency = time.Millisecond
	simulationZone = "zone-1"
	crashWord      = "poison"
)

// simulationOptions sets the size and the behavior of a simulation. engines and entries are the
// numbers of engines, each with an agent, and of entry nodes.
type simulationOptions struct {
	seed         uint64
	engines      int
	entries      int
	adapterSlots int
	batchSize    int
	// checksFencing makes the engines with even indexes check fencing tokens.
	checksFencing   bool
	adapters        []string
	serviceCallTime time.Duration
	hostListLag     time.Duration
	// policy selects runners. storeLoadsPerSecond is the number of adapter loads per second that
	// the weight store serves. weights are the routing weights of the team.
	policy              route.Policy
	storeLoadsPerSecond float64
	weights             conf.Weights
	// software holds the software versions of the engines, none if it is empty.
	software []string
	// front returns what answers in front of a backend server, none if it is nil.
	front func(name string, inner http.Handler) http.Handler
	// retryPercent is the number of retries that 100 requests allow.
	retryPercent int
}

// behindFront returns the handler of a backend server with what answers in front of it.
func (op *simulationOptions) behindFront(name string, inner http.Handler) http.Handler {
	if op.front == nil {
		return inner
	}
	return op.front(name, inner)
}

// softwareOf returns the software version of an engine.
func (op *simulationOptions) softwareOf(ix int) string {
	if ix >= len(op.software) {
		return ""
	}
	return op.software[ix]
}

// simulation is a complete deployment that runs in one process, in virtual time.
type simulation struct {
	tb    testing.TB
	op    simulationOptions
	net   *network
	log   *logsvc.Service
	hosts *hostls.List
	store *weight.Store
	plain *plain.Service
	// ledger sends the answers of plain in a way that tests set.
	ledger  *faulty.Handler
	engines []*engine.Engine
	lg      zerolog.Logger

	mu      sync.Mutex
	apps    map[string]*programRun
	ctx     context.Context
	cancel  context.CancelFunc
	servers []*http.Server
}

// programRun is one run of a program. The host is its name on the network, such as entry-0/2 for
// the second run of entry-0.
type programRun struct {
	app  *fx.App
	host string
}

// newSimulation starts a deployment and waits until its entry nodes are ready.
func newSimulation(tb testing.TB, op simulationOptions) *simulation {
	tb.Helper()
	if op.storeLoadsPerSecond == 0 {
		op.storeLoadsPerSecond = 20
	}
	if op.retryPercent == 0 {
		op.retryPercent = 10
	}
	if op.weights == (conf.Weights{}) {
		op.weights = conf.Weights{LoadStall: 1, BatchEfficiency: 1, Queueing: 1, RegionCrossing: 1}
	}
	ctx, cancel := context.WithCancel(context.Background())
	sm := &simulation{
		tb: tb, op: op, net: newNetwork(networkLatency), log: logsvc.New(300, time.Hour), hosts: hostls.New(op.hostListLag),
		store: weight.New(op.storeLoadsPerSecond), plain: plain.New("ledger", op.serviceCallTime), apps: map[string]*programRun{},
		ctx: ctx, cancel: cancel, lg: zerolog.Nop(),
	}
	if os.Getenv("PROOF_LOG") != "" {
		sm.lg = logs.New(os.Stderr, zerolog.DebugLevel, "simulation", "")
	}
	sm.serve("log", "log:1", sm.log.Handler())
	sm.serve("hosts", "hosts:1", sm.hosts.Handler())
	sm.serve("store", "store:1", sm.store.Handler())
	sm.ledger = faulty.New(sm.plain.Handler(), faulty.Sound)
	sm.serve("ledger-backend", "ledger-backend:1", op.behindFront("ledger-backend", sm.ledger))
	for ix := range op.engines {
		sm.startEngine(ix)
		sm.startAgent(runnerName(ix))
	}
	sm.startAgent("ledger")
	for ix := range op.entries {
		sm.startEntry(entryName(ix))
	}
	sm.applyChange("first", sm.initialSettings())
	for ix := range op.entries {
		sm.waitUntil(entryName(ix)+" is ready", func() bool { return sm.entryReady(entryName(ix)) })
	}
	time.Sleep(time.Second)
	return sm
}

func entryName(ix int) string  { return fmt.Sprintf("entry-%d", ix) }
func runnerName(ix int) string { return fmt.Sprintf("runner-%d", ix) }
func engineName(ix int) string { return fmt.Sprintf("engine-%d", ix) }
func runnerIndex(name string) int {
	ix := 0
	_, _ = fmt.Sscanf(name, "runner-%d", &ix)
	return ix
}

// serve starts an HTTP server on an address.
func (sm *simulation) serve(host, address string, ha http.Handler) {
	ls, err := sm.net.forHost(host).Listen(address)
	if err != nil {
		sm.tb.Fatal(err)
	}
	sv := &http.Server{Handler: ha}
	sm.servers = append(sm.servers, sv)
	go func() { _ = sv.Serve(ls) }()
}

// startEngine starts an engine and its HTTP server.
func (sm *simulation) startEngine(ix int) {
	name := engineName(ix)
	client := &http.Client{Transport: &http.Transport{DialContext: sm.net.forHost(name).DialContext, DisableKeepAlives: true}}
	en := engine.New(engine.Options{
		Name: name, Model: "base", Slots: sm.op.adapterSlots, BatchSize: sm.op.batchSize, ChecksFencing: sm.op.checksFencing && ix%2 == 0,
		StepTime: 10 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillPerToken: 100 * time.Microsecond,
		ColdStart: time.Second, CrashWord: crashWord, Software: sm.op.softwareOf(ix),
	}, engine.HTTPStore{Client: client, URL: "http://store:1"})
	sm.engines = append(sm.engines, en)
	go en.Run(sm.ctx)
	sm.serve(name, name+":1", sm.op.behindFront(name, en.Handler()))
}

// startAgent starts a new run of the agent of a runner or of the ledger service.
func (sm *simulation) startAgent(name string) {
	host := sm.nextRunHost(name)
	se := conf.AgentSettings{
		Place: conf.Place{Name: name, Region: "region-1", Zone: simulationZone}, ListenAddress: name + ":1",
		Kind: conf.AgentSettingsKindService, BackendURL: "http://ledger-backend:1", Services: []string{"ledger"}, BatchPlaces: sm.op.batchSize,
	}
	if strings.HasPrefix(name, "runner-") {
		ix := runnerIndex(name)
		se.Kind, se.Model, se.Services, se.Slots = conf.AgentSettingsKindEngine, "base", []string{}, sm.op.adapterSlots
		se.BackendURL, se.ChecksFencing, se.Resumes = "http://"+engineName(ix)+":1", sm.op.checksFencing && ix%2 == 0, true
	}
	sm.hosts.Put(hostls.Host{Name: name, Role: "agent", Address: name + ":1", Region: "region-1", Zone: simulationZone})
	sm.start(name, host, agentnode.New(agentnode.Options{
		Settings: se, Network: sm.net.forHost(host), Logger: sm.lg.With().Str("node", host).Logger(),
	}))
}

// startEntry starts a new run of an entry node.
func (sm *simulation) startEntry(name string) {
	host := sm.nextRunHost(name)
	se := conf.EntrySettings{
		Place:         conf.Place{Name: name, Region: "region-1", Zone: simulationZone},
		CallerAddress: name + ":1", AdminAddress: name + ":2", LogURL: "http://log:1", HostsURL: "http://hosts:1",
		BootstrapSha256: tokenHash(rootToken), DrainGraceMs: 500,
	}
	sm.hosts.Put(hostls.Host{Name: name, Role: "entry", Address: name + ":2", Region: "region-1", Zone: simulationZone})
	sm.start(name, host, entrynode.New(entrynode.Options{
		Settings: se, Network: sm.net.forHost(host), Logger: sm.lg.With().Str("node", host).Logger(), Seed: sm.op.seed, Policy: sm.op.policy,
	}))
}

// nextRunHost returns the name on the network for the next run of a program.
func (sm *simulation) nextRunHost(name string) string {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	count := 1
	for host := range sm.apps {
		if strings.HasPrefix(host, name+"/") {
			count++
		}
	}
	return fmt.Sprintf("%s/%d", name, count)
}

// start starts a program and records the run under its name on the network.
func (sm *simulation) start(name, host string, app *fx.App) {
	if err := app.Start(context.Background()); err != nil {
		sm.tb.Fatalf("start of %s failed: %v", name, err)
	}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.apps[host] = &programRun{app: app, host: host}
}

// currentRun returns the latest run of a program.
func (sm *simulation) currentRun(name string) *programRun {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	var last *programRun
	for ix := 1; ; ix++ {
		ru := sm.apps[fmt.Sprintf("%s/%d", name, ix)]
		if ru == nil {
			return last
		}
		last = ru
	}
}

// kill ends a program abruptly: its connections break before it can announce the stop.
func (sm *simulation) kill(name string) {
	ru := sm.currentRun(name)
	sm.net.kill(ru.host)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_ = ru.app.Stop(ctx)
	}()
}

// stop shuts a program down gracefully and waits until it has stopped.
func (sm *simulation) stop(name string) {
	ru := sm.currentRun(name)
	if err := ru.app.Stop(context.Background()); err != nil {
		sm.tb.Errorf("graceful stop of %s failed: %v", name, err)
	}
	// Data that the program wrote before it stopped must still be delivered.
	time.Sleep(20 * networkLatency)
	sm.net.kill(ru.host)
}

// close ends all programs, connections and HTTP servers.
func (sm *simulation) close() {
	sm.net.close()
	for _, ru := range sm.apps {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_ = ru.app.Stop(ctx)
		cancel()
	}
	sm.cancel()
	for _, sv := range sm.servers {
		_ = sv.Close()
	}
	time.Sleep(time.Minute)
}

// waitUntil polls until the condition is true and fails the test after a minute.
func (sm *simulation) waitUntil(what string, condition func() bool) {
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	sm.tb.Errorf("condition not met within a minute: %s", what)
}

// tokenHash returns the hexadecimal SHA-256 hash under which the settings store a token.
func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// initialSettings returns the settings subtrees that a simulation starts with, by path.
func (sm *simulation) initialSettings() map[string]any {
	adapters, names := map[string]any{}, make([]string, 0, 2*len(sm.op.adapters))
	for _, name := range sm.op.adapters {
		adapters["adapters/"+name] = conf.Adapter{Model: "base", Versions: []int{1, 2}}
		names = append(names, name+"@1", name+"@2")
	}
	adapters["models/base"] = conf.Model{}
	adapters["services/ledger"] = conf.Service{Calls: []conf.Call{}}
	adapters["deployment"] = conf.Deployment{
		StoreLoadsPerSecond: 20, StoreLoadsInFlight: 8, RequestTimeoutMs: 20000, BodyBytes: 1 << 20, RetryPercent: sm.op.retryPercent,
	}
	adapters["teams/recipe"] = conf.Team{
		Adapters: names, Services: []string{"ledger"}, Urgency: conf.TeamUrgencyUrgent,
		Weights: sm.op.weights,
		Tokens:  []conf.Token{{Name: "caller", Sha256: tokenHash(callerToken), Role: conf.TokenRoleCaller}},
	}
	return adapters
}

// applyChange proposes new subtrees, without a base revision, to the first entry node until they
// are accepted.
func (sm *simulation) applyChange(id string, subtrees map[string]any) {
	ch := admin.Change{ID: id}
	for path, value := range subtrees {
		data, _ := json.Marshal(value)
		ch.Edits = append(ch.Edits, admin.Edit{Path: path, Body: data})
	}
	sm.waitUntil("acceptance of change "+id, func() bool {
		oc, status := sm.proposeChange(entryName(0), ch)
		return status == http.StatusOK && oc.Kind == "accepted"
	})
}

// toJSON encodes a value as JSON.
func toJSON(value any) []byte {
	data, _ := json.Marshal(value)
	return data
}

// proposeChange sends a change to an entry node once and returns its outcome and the HTTP status.
func (sm *simulation) proposeChange(entry string, ch admin.Change) (admin.Outcome, int) {
	data, _ := json.Marshal(ch)
	oc := admin.Outcome{}
	re := sm.send("operator", http.MethodPost, "http://"+entry+":2/admin/v1/changes", rootToken, string(data), 10*time.Second)
	_ = json.Unmarshal([]byte(re.body), &oc)
	return oc, re.status
}

// nodeStatus returns the status that an entry node reports, or false if it does not answer.
func (sm *simulation) nodeStatus(entry string) (admin.Node, bool) {
	no := admin.Node{}
	re := sm.send("operator", http.MethodGet, "http://"+entry+":2/peer/status", "", "", time.Second)
	return no, re.status == http.StatusOK && json.Unmarshal([]byte(re.body), &no) == nil
}

// entryReady reports whether an entry node is ready and lists every runner, including the ledger.
func (sm *simulation) entryReady(entry string) bool {
	no := admin.Node{}
	re := sm.send("operator", http.MethodGet, "http://"+entry+":2/peer/status", "", "", time.Second)
	if re.status != http.StatusOK || json.Unmarshal([]byte(re.body), &no) != nil {
		return false
	}
	return no.Ready && len(no.Runners) == sm.op.engines+1
}

// reply is the response that a caller received, or the error instead of it.
type reply struct {
	status    int
	header    http.Header
	body      string
	err       error
	outcome   string
	errorType string
	took      time.Duration
}

// send sends one request on a new connection and reads the whole response.
func (sm *simulation) send(from, method, url, token, body string, timeout time.Duration, header ...string) reply {
	start := time.Now()
	ctx, cancel := context.WithTimeout(sm.ctx, timeout)
	defer cancel()
	tr := &http.Transport{DialContext: sm.net.forHost(from).DialContext, DisableKeepAlives: true}
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		sm.tb.Fatal(err)
	}
	if token != "" {
		rq.Header.Set("Authorization", "Bearer "+token)
	}
	for ix := 0; ix+1 < len(header); ix += 2 {
		rq.Header.Set(header[ix], header[ix+1])
	}
	resp, err := tr.RoundTrip(rq)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	re := reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, took: time.Since(start)}
	parsed := struct {
		Error struct{ Type, Outcome string }
	}{}
	if json.Unmarshal(data, &parsed) == nil {
		re.errorType, re.outcome = parsed.Error.Type, parsed.Error.Outcome
	}
	return re
}

// sendChat sends a chat completion request.
func (sm *simulation) sendChat(from, entry, model, prompt string, tokens int, stream bool, timeout time.Duration) reply {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, tokens, prompt)
	return sm.send(from, http.MethodPost, "http://"+entry+":1/v1/chat/completions", callerToken, body, timeout+time.Second,
		"Bambooladder-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
}

// postRelease sends a call to the ledger service that must run at most once per idempotency key.
func (sm *simulation) postRelease(from, entry, key, body string, timeout time.Duration) reply {
	return sm.send(from, http.MethodPost, "http://"+entry+":1/services/ledger/releases", callerToken, body, timeout+time.Second,
		"Idempotency-Key", key, "Bambooladder-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
}

// newIdempotencyKey returns an idempotency key with the current time.
func newIdempotencyKey() string { return idempotencyKeyAt(time.Now()) }

// idempotencyKeyAt returns an idempotency key (a UUID of version 7) with the given time. The
// generator of the uuid package never goes back behind the latest time seen in the process, so it
// can't be used by tests whose virtual clocks differ.
func idempotencyKeyAt(at time.Time) string {
	id := uuid.New()
	millis := at.UnixMilli()
	for ix := range 6 {
		id[ix] = byte(millis >> (8 * (5 - ix)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

// text returns the text of the answer and whether the answer is complete.
func (re reply) text() (string, bool) {
	if re.err != nil || re.status != http.StatusOK {
		return "", false
	}
	if !strings.HasPrefix(re.header.Get("Content-Type"), "text/event-stream") {
		return textOf([]byte(re.body)), true
	}
	text, complete := strings.Builder{}, false
	for line := range strings.SplitSeq(re.body, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		text.WriteString(textOf([]byte(data)))
	}
	return text.String(), complete
}

// textOf returns the text in a complete answer or in one chunk of a stream.
func textOf(data []byte) string {
	parsed := struct {
		Choices []struct {
			Message struct{ Content string }
			Delta   struct{ Content string }
		}
	}{}
	if json.NewDecoder(bytes.NewReader(data)).Decode(&parsed) != nil || len(parsed.Choices) == 0 {
		return ""
	}
	return parsed.Choices[0].Message.Content + parsed.Choices[0].Delta.Content
}
