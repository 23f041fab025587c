package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	agentdirect "github.com/bambooladder/bambooladder/agent/direct"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/logs"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/direct"
)

const (
	// startTime is how long an entry node has to become ready.
	startTime = 1500 * time.Millisecond
	// noticeTime is how long callers still come to an entry node that is stopping, or gone.
	noticeTime = 2 * time.Second
	// closeTime is how long after the end of a stop the last bytes of answers may take.
	closeTime = 100 * time.Millisecond
	// settleTime is the time between the start of the deployment and that of the callers.
	settleTime = 2 * time.Second
)

// drawnWorld is a deployment that a drawn plan is played on.
type drawnWorld struct {
	plan drawnPlan
	ds   *directSimulation
	// agentsTurn is full while an agent starts again. Virtual time would not pass while others wait for a mutex.
	agentsTurn chan struct{}

	mu      sync.Mutex
	history drawnHistory
	answers map[string]uint64
	servers map[string]*drawnServer
	entries map[string]*drawnEntry
	routes  drawnRoutes
}

// drawnEntry is an entry node, over its restarts.
type drawnEntry struct {
	name   string
	reader *nodeReader
	// run counts its runs; each has a host of its own in the network.
	run int
	app *fx.App
	// ready is true if callers come to it.
	ready bool
	// ending is true from its end until it has started again.
	ending bool
}

// host returns the name of the host of the present run.
func (de *drawnEntry) host() string { return fmt.Sprintf("%s/%d", de.name, de.run) }

// agentHost returns the name of the host on which the agent of an engine is reached.
func agentHost(id string) string { return id + "/agent" }

// drawnProtocol is the protocol of the tests with what the users' one says of answers without an ID.
type drawnProtocol struct{ testProtocol }

// MatchesRequest accepts an answer without an ID as the first of its connection.
func (drawnProtocol) MatchesRequest(hd http.Header, ri *direct.RequestInfo, reused bool) bool {
	id := hd.Get(headerID)
	return id == ri.ID || id == "" && !reused
}

// AnswerKind returns Foreign for an answer without an ID to a request that may have run.
func (dp drawnProtocol) AnswerKind(status int, hd http.Header, server string) direct.AnswerKind {
	kind := dp.testProtocol.AnswerKind(status, hd, server)
	if kind == direct.Genuine && hd.Get(headerID) == "" {
		return direct.Foreign
	}
	return kind
}

// newDrawnWorld starts the deployment of a plan.
func newDrawnWorld(t *testing.T, plan drawnPlan) *drawnWorld {
	t.Helper()
	dw := &drawnWorld{plan: plan, agentsTurn: make(chan struct{}, 1), answers: map[string]uint64{}, servers: map[string]*drawnServer{}, entries: map[string]*drawnEntry{}, ds: &directSimulation{
		tb: t, net: newNetwork(time.Millisecond), source: &testSource{changed: make(chan struct{}), epoch: 1}, backends: map[string]*backend{},
		readers: map[string]direct.LogReader{}, agents: map[string]*fx.App{}, lg: zerolog.Nop(),
	}}
	if os.Getenv("PROOF_LOG") != "" {
		dw.ds.lg = logs.New(os.Stderr, zerolog.DebugLevel, "simulation", "")
	}
	dw.changeRoutes(func(dr *drawnRoutes) { dr.advice, dr.canary, dr.patient = plan.Advice, plan.Canary, plan.Patient })
	for ix := range plan.Plain {
		dw.addServer(fmt.Sprintf("plain-%d", ix), "ledger", "", "")
	}
	for ix, software := range plan.Engines {
		dw.addServer(engineName(ix), plan.service(ix), testModel, software)
	}
	wg := sync.WaitGroup{}
	for ix := range plan.Entries {
		de := &drawnEntry{name: entryName(ix + 1), reader: &nodeReader{testSource: dw.ds.source}}
		dw.entries[de.name] = de
		wg.Go(func() { dw.startEntry(de, true) })
	}
	wg.Wait()
	time.Sleep(settleTime)
	return dw
}

// addServer starts a backend server and, if it is an engine, its agent.
func (dw *drawnWorld) addServer(id, service, model, software string) {
	ba := &backend{id: id, announcedID: id, loaded: map[string]int{}, born: 1, service: service, model: model, software: software}
	sv := &drawnServer{ba: ba, world: dw, conns: map[net.Conn]bool{}}
	dw.mu.Lock()
	dw.ds.backends[id], dw.servers[id] = ba, sv
	dw.mu.Unlock()
	if model != "" {
		sv.setFault(&answersFault{Share: dw.plan.Breaks, Way: cutAnswers{Resets: dw.plan.Seed%2 == 0}}, true)
	}
	sv.listen()
	dw.writeRecord(sv, false)
	if model != "" {
		dw.startAgent(ba)
	}
}

// listen starts a run of the server.
func (sv *drawnServer) listen() {
	ls, err := sv.world.ds.net.forHost(sv.ba.id).Listen(sv.ba.id + ":1")
	if err != nil {
		panic(err)
	}
	hs := &http.Server{Handler: sv}
	sv.ba.mu.Lock()
	sv.ba.httpServer = hs
	sv.ba.mu.Unlock()
	go func() { _ = hs.Serve(ls) }()
}

// writeRecord writes the server's record to the log.
func (dw *drawnWorld) writeRecord(sv *drawnServer, leaving bool) {
	ba := sv.ba
	ba.mu.Lock()
	se := &roster.Server{
		ID: ba.announcedID, Service: ba.service, Address: ba.id + ":1", Zone: directZone, Places: 4, Born: ba.born, Software: ba.software, Model: ba.model, Leaving: leaving,
	}
	ba.mu.Unlock()
	dw.ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{Server: se})
}

// removeRecord removes a server's record from the log.
func (dw *drawnWorld) removeRecord(id string) {
	dw.ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: id})
}

// startAgent starts the agent beside an engine.
func (dw *drawnWorld) startAgent(ba *backend) {
	app := agentdirect.New(agentdirect.Options{
		Settings: conf.DirectAgentSettings{
			Place: conf.Place{Name: ba.id, Region: "region-1", Zone: directZone}, ListenAddress: ba.id + ":7", BackendAddress: ba.id + ":1",
		},
		Network: dw.ds.net.forHost(agentHost(ba.id)), Engine: ba, Logger: dw.ds.lg.With().Str("node", "agent-"+ba.id).Logger(),
	})
	dw.mu.Lock()
	dw.ds.agents[ba.id] = app
	dw.mu.Unlock()
	dw.ds.start(app)
}

// startEntry starts a run of an entry node, and lets callers come to it.
func (dw *drawnWorld) startEntry(de *drawnEntry, firstStart bool) {
	dw.mu.Lock()
	de.run++
	host, name := de.host(), de.name
	dw.mu.Unlock()
	app := direct.New(direct.Options{
		Settings: conf.DirectEntrySettings{
			Place: conf.Place{Name: name, Region: "region-1", Zone: directZone}, CallerAddress: name + ":1", ReadyAddress: name + ":2",
			PeerAddress: name + ":3", Peers: []string{"entry-1:3", "entry-2:3", "entry-3:3"}, AgentPort: 7, LogAddress: "log:1", StopMs: 8000,
			LeaveMs: 2500, VersionMs: 5000, RoutesMs: 2500, RetryShare: 0.2, RetryWindowMs: 10_000, RetrySlack: 2000,
			Regions: conf.DirectEntrySettingsRegions{directZone: "region-1"}, FirstStart: firstStart,
		},
		Network: &resettingNetwork{dw.ds.net.forHost(host)}, LogReader: de.reader, Protocol: drawnProtocol{}, Logger: dw.ds.lg.With().Str("node", host).Logger(),
		Random: dw.randomOf(host),
	})
	dw.ds.start(app)
	dw.mu.Lock()
	de.app = app
	dw.mu.Unlock()
	time.Sleep(startTime)
	dw.setReady(de, true)
}

// randomOf returns a source of random numbers of a node.
func (dw *drawnWorld) randomOf(host string) func() float64 {
	mu, rn := sync.Mutex{}, dw.randomFor(host)
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rn.Float64()
	}
}

// setReady sets whether callers come to an entry node.
func (dw *drawnWorld) setReady(de *drawnEntry, ready bool) {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	de.ready = ready
}

// pickEntry returns the entry node to which a caller comes, and waits until there is one.
func (dw *drawnWorld) pickEntry(rn *rand.Rand) string {
	for {
		names := []string(nil)
		dw.mu.Lock()
		for ix := range dw.plan.Entries {
			if de := dw.entries[entryName(ix+1)]; de.ready {
				names = append(names, de.name)
			}
		}
		dw.mu.Unlock()
		if len(names) > 0 {
			return names[rn.IntN(len(names))]
		}
		time.Sleep(noticeTime / 10)
	}
}

// recordAsk records what became of an ask.
func (dw *drawnWorld) recordAsk(da drawnAsk) {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	dw.history.asks = append(dw.history.asks, da)
}

// play lets callers ask while the plan's faults happen, and returns the history.
func (dw *drawnWorld) play(ctx context.Context) *drawnHistory {
	wg := sync.WaitGroup{}
	dw.history.patient = dw.plan.Patient
	if dw.plan.foreseen() {
		dw.showLongest(ctx)
	}
	for _, tf := range dw.plan.Faults {
		wg.Go(func() { dw.suffer(tf) })
	}
	for number := range dw.plan.Callers {
		dc := dw.newDrawnCaller(number)
		wg.Go(func() { dc.run(ctx) })
	}
	start := time.Now()
	for number, dv := range dw.plan.Visits {
		vi := dw.newVisitor(number, dv)
		wg.Go(func() { vi.run(ctx, start) })
	}
	wg.Wait()
	return &dw.history
}
