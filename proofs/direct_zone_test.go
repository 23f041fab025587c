package proofs

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/direct"
)

const (
	zoneNodes = 3
	// zoneCalls is the number of calls through each node after a change of the records.
	zoneCalls = 20
)

// runZone runs a test at three entry nodes of one zone, of which one reads the log for the others. Servers answer 421 to
// requests for other servers.
func runZone(t *testing.T, plain, engines int, fn func(t *testing.T, ds *directSimulation, zo *zone)) {
	t.Helper()
	runDirectSimulation(t, plain, engines, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		zo := &zone{ds: ds, readers: map[string]*nodeReader{}}
		for number := 2; number <= zoneNodes+1; number++ {
			name := fmt.Sprintf("entry-%d", number)
			zo.readers[name] = &nodeReader{testSource: ds.source}
			ds.readers[name] = zo.readers[name]
			ds.startEntry(name)
		}
		// The first node reads a log whose reads are not counted.
		_ = ds.apps[engines].Stop(context.Background())
		time.Sleep(feedSettleTime)
		for id, ba := range ds.backends {
			ba.setScript(answerOwn(id))
		}
		fn(t, ds, zo)
	})
}

// answerOwn returns a script that answers requests for the server itself, and says that it did not run others.
func answerOwn(id string) func(wr http.ResponseWriter, rq *http.Request) {
	return func(wr http.ResponseWriter, rq *http.Request) {
		if rq.Header.Get(headerServer) == id {
			defaultAnswer(wr, rq)
			return
		}
		wr.Header().Set(headerServer, id)
		wr.Header().Set(headerID, rq.Header.Get(headerID))
		wr.WriteHeader(http.StatusMisdirectedRequest)
	}
}

// zone is the entry nodes of a zone.
type zone struct {
	ds      *directSimulation
	readers map[string]*nodeReader
}

// call sends calls through each node and returns how many were not answered with 200, by node.
func (zo *zone) call(t *testing.T, target, adapter string) map[string]int {
	t.Helper()
	failed := map[string]int{}
	for name := range zo.readers {
		cl := zo.ds.newCaller(name)
		for number := range zoneCalls {
			re := cl.sendAs(t.Context(), fmt.Sprintf("%s-%d-%d", name, time.Now().UnixNano(), number), http.MethodPost, target, adapter, "x")
			if re.status != http.StatusOK || re.err != nil {
				failed[name]++
			}
			time.Sleep(20 * time.Millisecond)
		}
		cl.client.CloseIdleConnections()
	}
	return failed
}

// oddRecord returns another writer's record with an address of a living server.
func oddRecord(id, service, address string, born int64) direct.LogRecord {
	model := ""
	if service == "advice" {
		model = testModel
	}
	return direct.LogRecord{Server: &roster.Server{
		ID: id, Service: service, Address: address, Zone: directZone, Places: 4, Born: born, Model: model,
	}}
}

// checkCalls fails the test unless each node has calls answered, each round those for another adapter.
func (zo *zone) checkCalls(t *testing.T, target string, round int) {
	t.Helper()
	adapter := ""
	if target == "/once/x" {
		adapter = fmt.Sprintf("a%d", round)
	}
	if failed := zo.call(t, target, adapter); len(failed) > 0 {
		t.Errorf("round %d: of %d calls through each node, %v were not answered with 200", round, zoneCalls, failed)
	}
}

// Another writer leaves a record of an engine with the host of a living one and another port, where nothing listens. The
// agent of that host must stay that of the living engine: all calls for its service were refused.
func TestDirectZoneRecordOnAnEnginesHostTakesNoAgent(t *testing.T) {
	for _, id := range []string{"aa-odd", "zz-odd"} {
		// The living engine has started at 1.
		for _, born := range []int64{0, 1, 9} {
			t.Run(fmt.Sprintf("%s, born %d", id, born), func(t *testing.T) {
				runZone(t, 1, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
					ds.source.appendRecord(direct.ServersTopic, oddRecord(id, "advice", "engine-0:2", born))
					time.Sleep(2500 * time.Millisecond)
					for round := range 4 {
						zo.checkCalls(t, "/once/x", round)
					}
				})
			})
		}
	}
}

// Another writer leaves a record with the address of a living server and a later start, for another service that the
// routes have, or for one that nobody has. The living server was hidden, and all calls for its service refused.
func TestDirectZoneRecordOfAnotherServiceHidesNoServer(t *testing.T) {
	for name, tc := range map[string]struct{ service, address, target string }{
		"nobody's, of a plain server":    {service: "nobody", address: "plain-0:1", target: "/unsafe/x"},
		"nobody's, of an engine":         {service: "nobody", address: "engine-0:1", target: "/once/x"},
		"an engine's, of a plain server": {service: "advice", address: "plain-0:1", target: "/unsafe/x"},
		"a plain server's, of an engine": {service: "ledger", address: "engine-0:1", target: "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			runZone(t, 1, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
				ds.source.appendRecord(direct.ServersTopic, oddRecord("zz-odd", tc.service, tc.address, 9))
				time.Sleep(2500 * time.Millisecond)
				for round := range 4 {
					zo.checkCalls(t, tc.target, round)
				}
			})
		})
	}
}

// Another writer leaves a record with the address of a living server, its service and a later start, which is taken for the
// server's next run. The answer to the first call there shows that it is none: that call and all that follow must be served
// by the living server. All calls until the next read of the log were refused.
func TestDirectZoneServerIsUsedAtOnceAfterItsRecordHidIt(t *testing.T) {
	for name, tc := range map[string]struct {
		service, address, target string
		servers                  int
		// again is the start that the record states as it is written again in a round, zero if it is not.
		again func(round int) int64
	}{
		"plain server":                      {service: "ledger", address: "plain-0:1", target: "/unsafe/x", servers: 1},
		"one of two plain servers":          {service: "ledger", address: "plain-0:1", target: "/unsafe/x", servers: 2},
		"engine":                            {service: "advice", address: "engine-0:1", target: "/once/x", servers: 1},
		"plain server, written again":       {service: "ledger", address: "plain-0:1", target: "/unsafe/x", servers: 1, again: func(int) int64 { return 9 }},
		"plain server, a new run each time": {service: "ledger", address: "plain-0:1", target: "/unsafe/x", servers: 1, again: func(round int) int64 { return int64(10 + round) }},
		"engine, written again":             {service: "advice", address: "engine-0:1", target: "/once/x", servers: 1, again: func(int) int64 { return 9 }},
		"engine, a new run each time":       {service: "advice", address: "engine-0:1", target: "/once/x", servers: 1, again: func(round int) int64 { return int64(10 + round) }},
	} {
		t.Run(name, func(t *testing.T) {
			runZone(t, tc.servers, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
				ds.source.appendRecord(direct.ServersTopic, oddRecord("zz-odd", tc.service, tc.address, 9))
				time.Sleep(2500 * time.Millisecond)
				for round := range 4 {
					zo.checkCalls(t, tc.target, round)
					if tc.again != nil {
						ds.source.appendRecord(direct.ServersTopic, oddRecord("zz-odd", tc.service, tc.address, tc.again(round)))
						time.Sleep(1200 * time.Millisecond)
					}
				}
			})
		})
	}
}

// Records of living servers are removed and written again between two reads of the node that reads for the zone. All nodes
// must keep the servers: 20 of 20 calls were refused through those that rely on the reading one.
func TestDirectZoneKeepsServersWhoseRecordsWereWrittenAgain(t *testing.T) {
	for name, tc := range map[string]struct{ id, service, model, target string }{
		"plain server": {id: "plain-0", service: "ledger", target: "/unsafe/x"},
		"engine":       {id: "engine-0", service: "advice", model: testModel, target: "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			runZone(t, 1, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
				for round := range 4 {
					ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: tc.id})
					ds.announceServer(tc.id, tc.service, tc.model, false)
					time.Sleep(3 * time.Second)
					zo.checkCalls(t, tc.target, round)
				}
			})
		})
	}
}

// Two records of other writers together: one hid a living engine, another one on its host took its agent, so that no
// call went to the first, whose answer would have shown the living engine. All calls for its service were refused.
func TestDirectZoneTwoRecordsOnAnEnginesHostHideNoEngine(t *testing.T) {
	for name, born := range map[string]int64{"started last": 9, "started with the engine": 1} {
		t.Run(name, func(t *testing.T) {
			runZone(t, 1, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
				ds.source.appendRecord(direct.ServersTopic, oddRecord("aa-odd", "advice", "engine-0:2", born))
				time.Sleep(2500 * time.Millisecond)
				ds.source.appendRecord(direct.ServersTopic, oddRecord("zz-odd", "advice", "engine-0:1", 4))
				time.Sleep(2500 * time.Millisecond)
				for round := range 4 {
					zo.checkCalls(t, "/once/x", round)
				}
			})
		})
	}
}

// A node that starts while another writer's record states the very start of a living engine, on another port of its host,
// must find the agent of that host beside the living engine, whichever of the two IDs sorts first.
func TestDirectZoneRecordWithAnEnginesStartTakesNoAgentFromANewNode(t *testing.T) {
	for _, id := range []string{"aa-odd", "zz-odd"} {
		t.Run(id, func(t *testing.T) {
			runZone(t, 1, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
				ds.source.appendRecord(direct.ServersTopic, oddRecord(id, "advice", "engine-0:2", 1))
				time.Sleep(2500 * time.Millisecond)
				zo.readers["entry-9"] = &nodeReader{testSource: ds.source}
				ds.readers["entry-9"] = zo.readers["entry-9"]
				ds.startEntry("entry-9")
				time.Sleep(feedSettleTime)
				for round := range 4 {
					zo.checkCalls(t, "/once/x", round)
				}
			})
		})
	}
}

// Another writer leaves a record with the address of a living server, its service and a later start, which says that the
// server is leaving. No call goes to it, whose answer would show the living server: all calls were refused.
func TestDirectZoneLeavingRecordHidesNoServer(t *testing.T) {
	for name, tc := range map[string]struct{ service, address, target string }{
		"plain server": {service: "ledger", address: "plain-0:1", target: "/unsafe/x"},
		"engine":       {service: "advice", address: "engine-0:1", target: "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			runZone(t, 1, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
				odd := oddRecord("zz-odd", tc.service, tc.address, 9)
				odd.Server.Leaving = true
				ds.source.appendRecord(direct.ServersTopic, odd)
				time.Sleep(2500 * time.Millisecond)
				for round := range 4 {
					zo.checkCalls(t, tc.target, round)
				}
			})
		})
	}
}

// Another writer leaves a record with the address of a living engine, its service and a later start, but of a base model
// that nobody asks for, while the nodes cannot reach the engine's agent. No call goes to it, whose answer would show the
// living engine.
func TestDirectZoneRecordOfAnotherModelHidesNoEngine(t *testing.T) {
	runZone(t, 1, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
		zo.checkCalls(t, "/once/x", 0)
		time.Sleep(time.Second)
		_ = ds.agents["engine-0"].Stop(context.Background())
		odd := oddRecord("zz-odd", "advice", "engine-0:1", 9)
		odd.Server.Model = "another-model"
		ds.source.appendRecord(direct.ServersTopic, odd)
		time.Sleep(2500 * time.Millisecond)
		for range 4 {
			// The adapter of the first round is loaded.
			zo.checkCalls(t, "/once/x", 0)
		}
	})
}

// An engine is gone, and another one has started at its address under another ID while the record of the first has not expired. What
// their agent reported must not keep requests for the first one going there: one for each node at most is answered 421, and
// all calls are served.
func TestDirectZoneEngineThatIsGoneGetsNoCallsAtItsAddress(t *testing.T) {
	runZone(t, 1, 1, func(t *testing.T, ds *directSimulation, zo *zone) {
		zo.checkCalls(t, "/once/x", 0)
		ba := ds.backends["engine-0"]
		ba.mu.Lock()
		ba.born, ba.announcedID = 2, "engine-0-next"
		ba.mu.Unlock()
		own, misdirected := answerOwn("engine-0-next"), atomic.Int64{}
		ba.setScript(func(wr http.ResponseWriter, rq *http.Request) {
			if rq.Header.Get(headerServer) != "engine-0-next" {
				misdirected.Add(1)
			}
			own(wr, rq)
		})
		ds.announceServer("engine-0", "advice", testModel, false)
		time.Sleep(2500 * time.Millisecond)
		for round := range 4 {
			zo.checkCalls(t, "/once/x", round)
		}
		if got := misdirected.Load(); got > zoneNodes {
			t.Errorf("%d calls for the engine that is gone were sent to the one at its address, want %d at most", got, zoneNodes)
		}
	})
}

// zoneSeeds is the number of seeds of the long run of a zone; ZONE_SEEDS and ZONE_FROM set other ones.
const zoneSeeds = 10

// disturb does something to the records of the servers, or to a node, that must lose no server to any node.
func (zo *zone) disturb(random *rand.Rand, number int) {
	ds := zo.ds
	victims := []struct{ id, service, model string }{{"plain-0", "ledger", ""}, {"plain-1", "ledger", ""}, {"engine-0", "advice", testModel}}
	vi := victims[random.IntN(len(victims))]
	id, address, born := fmt.Sprintf("%s-odd-%d", []string{"aa", "zz"}[random.IntN(2)], number), vi.id+":1", int64(random.IntN(10))
	switch random.IntN(7) {
	case 0:
		ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: vi.id})
		ds.announceServer(vi.id, vi.service, vi.model, false)
	case 1:
		ds.source.appendRecord(direct.ServersTopic, oddRecord(id, "nobody", address, born))
	case 2:
		odd := oddRecord(id, []string{"ledger", "advice"}[random.IntN(2)], address, born)
		odd.Server.Leaving = number%3 == 2
		ds.source.appendRecord(direct.ServersTopic, odd)
	case 3:
		ds.source.appendRecord(direct.ServersTopic, oddRecord(id, "advice", vi.id+":2", born))
	case 4:
		ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{UnreadableServer: vi.id})
		ds.announceServer(vi.id, vi.service, vi.model, false)
	case 5:
		ds.net.silenceOpenConnections(zo.names()[random.IntN(zoneNodes)], "engine-0:7")
	case 6:
		ds.net.cut(zo.names()[random.IntN(zoneNodes)], "engine-0")
	}
}

// names returns the sorted names of the nodes.
func (zo *zone) names() []string { return slices.Sorted(maps.Keys(zo.readers)) }

// A long run: records are removed and written again, other writers leave records with addresses of living servers, and
// connections to the agent break or fall silent. Whenever that has been quiet for a while, all nodes must serve calls to
// all services.
func TestDirectZoneLosesNoServerInALongRun(t *testing.T) {
	seeds, from := envNumber("ZONE_SEEDS", zoneSeeds), envNumber("ZONE_FROM", 1)
	for seed := from; seed < from+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runZone(t, 2, 1, func(t *testing.T, _ *directSimulation, zo *zone) {
				random := rand.New(rand.NewPCG(uint64(seed), 1))
				for round := range 6 {
					for number := range 1 + random.IntN(4) {
						zo.disturb(random, 10*round+number)
						time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
					}
					time.Sleep(20 * time.Second)
					zo.checkCalls(t, "/unsafe/x", round)
					zo.checkCalls(t, "/once/x", round)
				}
			})
		})
	}
}

// envNumber returns the number in an environment variable, or a default.
func envNumber(name string, def int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return def
}
