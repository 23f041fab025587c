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
	"github.com/bambooladder/bambooladder/stand/hostls"
	"github.com/bambooladder/bambooladder/stand/logsvc"
	"github.com/bambooladder/bambooladder/stand/plain"
	"github.com/bambooladder/bambooladder/stand/weight"
)

const (
	rootToken   = "root-token"
	callerToken = "caller-token"
	netLatency  = time.Millisecond
	worldZone   = "zone-1"
	crashWord   = "poison"
)

// worldOptions sizes a world.
type worldOptions struct {
	seed    uint64
	engines int
	entries int
	slots   int
	places  int
	// fencing makes every second engine check fencing numbers.
	fencing  bool
	adapters []string
	callTime time.Duration
	hostLag  time.Duration
	// policy is how runners are chosen, storeLoads the store's loads a second, weights the team's.
	policy     route.Policy
	storeLoads float64
	weights    conf.Weights
}

// world is a whole deployment in virtual time.
type world struct {
	tb      testing.TB
	op      worldOptions
	net     *network
	log     *logsvc.Service
	hosts   *hostls.List
	store   *weight.Store
	plain   *plain.Service
	engines []*engine.Engine
	lg      zerolog.Logger

	mu      sync.Mutex
	apps    map[string]*running
	ctx     context.Context
	cancel  context.CancelFunc
	servers []*http.Server
}

// running is one start of a program.
type running struct {
	app  *fx.App
	host string
}

// newWorld starts a deployment and waits until it is ready.
func newWorld(tb testing.TB, op worldOptions) *world {
	tb.Helper()
	if op.storeLoads == 0 {
		op.storeLoads = 20
	}
	if op.weights == (conf.Weights{}) {
		op.weights = conf.Weights{LoadStall: 1, BatchEfficiency: 1, Queueing: 1, RegionCrossing: 1}
	}
	ctx, cancel := context.WithCancel(context.Background())
	wo := &world{
		tb: tb, op: op, net: newNetwork(netLatency), log: logsvc.New(300, time.Hour), hosts: hostls.New(op.hostLag),
		store: weight.New(op.storeLoads), plain: plain.New("ledger", op.callTime), apps: map[string]*running{},
		ctx: ctx, cancel: cancel, lg: zerolog.Nop(),
	}
	if os.Getenv("PROOF_LOG") != "" {
		wo.lg = logs.New(os.Stderr, zerolog.DebugLevel, "world", "")
	}
	wo.serve("log", "log:1", wo.log.Handler())
	wo.serve("hosts", "hosts:1", wo.hosts.Handler())
	wo.serve("store", "store:1", wo.store.Handler())
	wo.serve("ledger-backend", "ledger-backend:1", wo.plain.Handler())
	for ix := range op.engines {
		wo.startEngine(ix)
		wo.startAgent(runnerName(ix))
	}
	wo.startAgent("ledger")
	for ix := range op.entries {
		wo.startEntry(entryName(ix))
	}
	wo.apply("first", wo.tree())
	for ix := range op.entries {
		wo.await(entryName(ix)+" ready", func() bool { return wo.ready(entryName(ix)) })
	}
	time.Sleep(time.Second)
	return wo
}

func entryName(ix int) string  { return fmt.Sprintf("entry-%d", ix) }
func runnerName(ix int) string { return fmt.Sprintf("runner-%d", ix) }
func engineName(ix int) string { return fmt.Sprintf("engine-%d", ix) }
func runnerIndex(name string) int {
	ix := 0
	_, _ = fmt.Sscanf(name, "runner-%d", &ix)
	return ix
}

// serve answers HTTP on an address.
func (wo *world) serve(host, address string, ha http.Handler) {
	ls, err := wo.net.on(host).Listen(address)
	if err != nil {
		wo.tb.Fatal(err)
	}
	sv := &http.Server{Handler: ha}
	wo.servers = append(wo.servers, sv)
	go func() { _ = sv.Serve(ls) }()
}

// startEngine starts an engine with its HTTP interface.
func (wo *world) startEngine(ix int) {
	name := engineName(ix)
	client := &http.Client{Transport: &http.Transport{DialContext: wo.net.on(name).DialContext, DisableKeepAlives: true}}
	en := engine.New(engine.Options{
		Name: name, Model: "base", Slots: wo.op.slots, BatchSize: wo.op.places, ChecksFencing: wo.op.fencing && ix%2 == 0,
		StepTime: 10 * time.Millisecond, StepTimePerRequest: time.Millisecond, PrefillPerToken: 100 * time.Microsecond,
		ColdStart: time.Second, CrashWord: crashWord,
	}, engine.HTTPStore{Client: client, URL: "http://store:1"})
	wo.engines = append(wo.engines, en)
	go en.Run(wo.ctx)
	wo.serve(name, name+":1", en.Handler())
}

// startAgent starts the agent of a runner, or starts it anew.
func (wo *world) startAgent(name string) {
	host := wo.incarnation(name)
	se := conf.AgentSettings{
		Place: conf.Place{Name: name, Region: "region-1", Zone: worldZone}, ListenAddress: name + ":1",
		Kind: conf.AgentSettingsKindService, BackendURL: "http://ledger-backend:1", Services: []string{"ledger"}, BatchPlaces: wo.op.places,
	}
	if strings.HasPrefix(name, "runner-") {
		ix := runnerIndex(name)
		se.Kind, se.Model, se.Services, se.Slots = conf.AgentSettingsKindEngine, "base", []string{}, wo.op.slots
		se.BackendURL, se.ChecksFencing, se.Resumes = "http://"+engineName(ix)+":1", wo.op.fencing && ix%2 == 0, true
	}
	wo.hosts.Put(hostls.Host{Name: name, Role: "agent", Address: name + ":1", Region: "region-1", Zone: worldZone})
	wo.start(name, host, agentnode.New(agentnode.Options{
		Settings: se, Network: wo.net.on(host), Logger: wo.lg.With().Str("node", host).Logger(),
	}))
}

// startEntry starts an entry node, or starts it anew.
func (wo *world) startEntry(name string) {
	host := wo.incarnation(name)
	se := conf.EntrySettings{
		Place:         conf.Place{Name: name, Region: "region-1", Zone: worldZone},
		CallerAddress: name + ":1", AdminAddress: name + ":2", LogURL: "http://log:1", HostsURL: "http://hosts:1",
		BootstrapSha256: hashOf(rootToken), DrainGraceMs: 500,
	}
	wo.hosts.Put(hostls.Host{Name: name, Role: "entry", Address: name + ":2", Region: "region-1", Zone: worldZone})
	wo.start(name, host, entrynode.New(entrynode.Options{
		Settings: se, Network: wo.net.on(host), Logger: wo.lg.With().Str("node", host).Logger(), Seed: wo.op.seed, Policy: wo.op.policy,
	}))
}

// incarnation names the next start of a program on the network.
func (wo *world) incarnation(name string) string {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	count := 1
	for host := range wo.apps {
		if strings.HasPrefix(host, name+"/") {
			count++
		}
	}
	return fmt.Sprintf("%s/%d", name, count)
}

// start starts a program.
func (wo *world) start(name, host string, app *fx.App) {
	if err := app.Start(context.Background()); err != nil {
		wo.tb.Fatalf("start %s: %v", name, err)
	}
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.apps[host] = &running{app: app, host: host}
}

// current returns the latest start of a program.
func (wo *world) current(name string) *running {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var last *running
	for ix := 1; ; ix++ {
		ru := wo.apps[fmt.Sprintf("%s/%d", name, ix)]
		if ru == nil {
			return last
		}
		last = ru
	}
}

// kill ends a program without any notice.
func (wo *world) kill(name string) {
	ru := wo.current(name)
	wo.net.kill(ru.host)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_ = ru.app.Stop(ctx)
	}()
}

// stop ends a program as planned and waits for it.
func (wo *world) stop(name string) {
	ru := wo.current(name)
	if err := ru.app.Stop(context.Background()); err != nil {
		wo.tb.Errorf("planned stop of %s: %v", name, err)
	}
	// What the program wrote before its end is still delivered.
	time.Sleep(20 * netLatency)
	wo.net.kill(ru.host)
}

// close ends everything.
func (wo *world) close() {
	wo.net.close()
	for _, ru := range wo.apps {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_ = ru.app.Stop(ctx)
		cancel()
	}
	wo.cancel()
	for _, sv := range wo.servers {
		_ = sv.Close()
	}
	time.Sleep(time.Minute)
}

// await polls until a condition holds.
func (wo *world) await(what string, holds func() bool) {
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	wo.tb.Errorf("waited a minute for %s", what)
}

// hashOf returns the form in which tokens are kept.
func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// tree returns the settings of the world.
func (wo *world) tree() map[string]any {
	adapters, names := map[string]any{}, make([]string, 0, 2*len(wo.op.adapters))
	for _, name := range wo.op.adapters {
		adapters["adapters/"+name] = conf.Adapter{Model: "base", Versions: []int{1, 2}}
		names = append(names, name+"@1", name+"@2")
	}
	adapters["models/base"] = conf.Model{}
	adapters["services/ledger"] = conf.Service{Calls: []conf.Call{}}
	adapters["deployment"] = conf.Deployment{
		StoreLoadsPerSecond: 20, StoreLoadsInFlight: 8, RequestTimeoutMs: 20000, BodyBytes: 1 << 20, RetryPercent: 10,
	}
	adapters["teams/recipe"] = conf.Team{
		Adapters: names, Services: []string{"ledger"}, Urgency: conf.TeamUrgencyUrgent,
		Weights: wo.op.weights,
		Tokens:  []conf.Token{{Name: "caller", Sha256: hashOf(callerToken), Role: conf.TokenRoleCaller}},
	}
	return adapters
}

// apply proposes subtrees without a base at the first entry node until they are accepted.
func (wo *world) apply(id string, subtrees map[string]any) {
	ch := admin.Change{ID: id}
	for path, value := range subtrees {
		data, _ := json.Marshal(value)
		ch.Edits = append(ch.Edits, admin.Edit{Path: path, Body: data})
	}
	wo.await("change "+id, func() bool {
		oc, status := wo.propose(entryName(0), ch)
		return status == http.StatusOK && oc.Kind == "accepted"
	})
}

// jsonOf renders a value.
func jsonOf(value any) []byte {
	data, _ := json.Marshal(value)
	return data
}

// propose sends a change to an entry node once and returns its outcome and the HTTP status.
func (wo *world) propose(entry string, ch admin.Change) (admin.Outcome, int) {
	data, _ := json.Marshal(ch)
	oc := admin.Outcome{}
	re := wo.send("operator", http.MethodPost, "http://"+entry+":2/admin/v1/changes", rootToken, string(data), 10*time.Second)
	_ = json.Unmarshal([]byte(re.body), &oc)
	return oc, re.status
}

// node returns an entry node's own state, or false where it does not answer.
func (wo *world) node(entry string) (admin.Node, bool) {
	no := admin.Node{}
	re := wo.send("operator", http.MethodGet, "http://"+entry+":2/peer/status", "", "", time.Second)
	return no, re.status == http.StatusOK && json.Unmarshal([]byte(re.body), &no) == nil
}

// ready tells whether an entry node is ready and sees every runner.
func (wo *world) ready(entry string) bool {
	no := admin.Node{}
	re := wo.send("operator", http.MethodGet, "http://"+entry+":2/peer/status", "", "", time.Second)
	if re.status != http.StatusOK || json.Unmarshal([]byte(re.body), &no) != nil {
		return false
	}
	return no.Ready && len(no.Runners) == wo.op.engines+1
}

// reply is what a caller received.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error
	outcome string
	kind    string
	took    time.Duration
}

// send sends one request over a connection of its own.
func (wo *world) send(from, method, url, token, body string, wait time.Duration, header ...string) reply {
	start := time.Now()
	ctx, cancel := context.WithTimeout(wo.ctx, wait)
	defer cancel()
	tr := &http.Transport{DialContext: wo.net.on(from).DialContext, DisableKeepAlives: true}
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		wo.tb.Fatal(err)
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
		re.kind, re.outcome = parsed.Error.Type, parsed.Error.Outcome
	}
	return re
}

// ask sends a model request.
func (wo *world) ask(from, entry, model, prompt string, tokens int, stream bool, wait time.Duration) reply {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, tokens, prompt)
	return wo.send(from, http.MethodPost, "http://"+entry+":1/v1/chat/completions", callerToken, body, wait+time.Second,
		"Bambooladder-Timeout-Ms", fmt.Sprint(wait.Milliseconds()))
}

// call sends a call that must not be repeated.
func (wo *world) call(from, entry, key, body string, wait time.Duration) reply {
	return wo.send(from, http.MethodPost, "http://"+entry+":1/services/ledger/releases", callerToken, body, wait+time.Second,
		"Idempotency-Key", key, "Bambooladder-Timeout-Ms", fmt.Sprint(wait.Milliseconds()))
}

// newKey returns an idempotency key of now.
func newKey() string { return keyAt(time.Now()) }

// keyAt returns an idempotency key of a time. The library's own keys of version 7
// keep the newest time of the process, which several virtual clocks share.
func keyAt(at time.Time) string {
	id := uuid.New()
	millis := at.UnixMilli()
	for ix := range 6 {
		id[ix] = byte(millis >> (8 * (5 - ix)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

// text returns the answer's text and whether the answer is whole.
func (re reply) text() (string, bool) {
	if re.err != nil || re.status != http.StatusOK {
		return "", false
	}
	if !strings.HasPrefix(re.header.Get("Content-Type"), "text/event-stream") {
		return textOf([]byte(re.body)), true
	}
	text, whole := strings.Builder{}, false
	for line := range strings.SplitSeq(re.body, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		text.WriteString(textOf([]byte(data)))
	}
	return text.String(), whole
}

// textOf returns the text in an answer or one chunk of it.
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
