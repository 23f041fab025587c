package proofs

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/direct"
)

// nodeReader is the log as one entry node sees it.
type nodeReader struct {
	*testSource

	mu    sync.Mutex
	reads int
	// refused makes the log refuse the reads of this node only.
	refused bool
}

// count counts a read and reports whether the log answers it.
func (nr *nodeReader) count() error {
	nr.mu.Lock()
	defer nr.mu.Unlock()
	nr.reads++
	if nr.refused {
		return fmt.Errorf("log refuses this node")
	}
	return nil
}

// setRefused sets whether the log refuses the reads of this node.
func (nr *nodeReader) setRefused(refused bool) {
	nr.mu.Lock()
	defer nr.mu.Unlock()
	nr.refused = refused
}

// takeReads returns the number of reads since the last call.
func (nr *nodeReader) takeReads() int {
	nr.mu.Lock()
	defer nr.mu.Unlock()
	reads := nr.reads
	nr.reads = 0
	return reads
}

func (nr *nodeReader) ReadNewest(ctx context.Context, to direct.Topic) (direct.LogBatch, error) {
	if err := nr.count(); err != nil {
		return direct.LogBatch{}, err
	}
	return nr.testSource.ReadNewest(ctx, to)
}

func (nr *nodeReader) After(ctx context.Context, to direct.Topic, from int64, wait time.Duration) (direct.LogBatch, error) {
	if err := nr.count(); err != nil {
		return direct.LogBatch{}, err
	}
	return nr.testSource.After(ctx, to, from, wait)
}

const (
	feedNodes = 5
	// feedPeriod is how long the reads of the nodes are counted.
	feedPeriod = 20 * time.Second
	// aloneReadsPerSecond is how often a node reads the log that reads for itself only: the servers
	// every 1.125 s, the routes every 1.5 s.
	aloneReadsPerSecond = 1.6
	// outageTime is an outage of the log in which records of servers can vanish: those of three
	// heartbeats of 1.2 s are missing by then.
	outageTime = 4 * time.Second
	// feedSettleTime is how long nodes may take to choose the one that reads.
	feedSettleTime = 8 * time.Second
)

// startFeedNodes starts further entry nodes in the zone and returns the log as each node sees it,
// once they have chosen the node that reads.
func startFeedNodes(ds *directSimulation) map[string]*nodeReader {
	readers := map[string]*nodeReader{}
	for number := 2; number <= feedNodes+1; number++ {
		name := fmt.Sprintf("entry-%d", number)
		readers[name] = &nodeReader{testSource: ds.source}
		ds.readers[name] = readers[name]
		ds.startEntry(name)
	}
	// The first node reads a log whose reads are not counted.
	_ = ds.apps[2].Stop(context.Background())
	time.Sleep(feedSettleTime)
	for _, nr := range readers {
		nr.takeReads()
	}
	return readers
}

// countReads returns the reads of all nodes within feedPeriod.
func countReads(readers map[string]*nodeReader) int {
	time.Sleep(feedPeriod)
	total := 0
	for _, nr := range readers {
		total += nr.takeReads()
	}
	return total
}

// removeRoutes puts routes into force of which only the first is left.
func removeRoutes(ds *directSimulation, version int64) {
	next := routeTable(version)
	next.Routes = next.Routes[:1]
	ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: next.Build()})
}

// statuses returns the status with which each node answers a request.
func statuses(t *testing.T, ds *directSimulation, readers map[string]*nodeReader, method, target string) map[string]int {
	list := map[string]int{}
	for name := range readers {
		cl := ds.newCaller(name)
		list[name] = cl.send(t.Context(), method, target, "", "x").status
		cl.client.CloseIdleConnections()
	}
	return list
}

// Every read of the log is billed, so the nodes of a zone together must not read it much more often
// than two that read for themselves only.
func TestDirectOneNodeReadsTheLogForItsZone(t *testing.T) {
	runDirectSimulation(t, 1, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		readers := startFeedNodes(ds)
		if got, limit := countReads(readers), int(2*aloneReadsPerSecond*feedPeriod.Seconds()); got > limit {
			t.Errorf("%d nodes read the log %d times in %s, want at most %d", feedNodes, got, feedPeriod, limit)
		}
		removeRoutes(ds, 2)
		time.Sleep(300 * time.Millisecond)
		for name, status := range statuses(t, ds, readers, http.MethodPost, "/unsafe/x") {
			if status != http.StatusNotFound {
				t.Errorf("%s answers %d on a route that was removed, want 404", name, status)
			}
		}
	})
}

// The node that reads for its zone is lost, frozen or cut off from the log while a server leaves and
// a route is removed. All other nodes must hear of both in time.
func TestDirectNodesSurviveTheOneThatReads(t *testing.T) {
	const reading = "entry-2"
	for name, fail := range map[string]func(ds *directSimulation, readers map[string]*nodeReader){
		"killed":  func(ds *directSimulation, _ map[string]*nodeReader) { ds.net.kill(reading) },
		"frozen":  func(ds *directSimulation, _ map[string]*nodeReader) { ds.net.freeze(reading, 10*time.Second) },
		"refused": func(_ *directSimulation, readers map[string]*nodeReader) { readers[reading].setRefused(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 2, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
				readers := startFeedNodes(ds)
				fail(ds, readers)
				ds.announceServer("plain-0", "ledger", "", true)
				removeRoutes(ds, 2)
				time.Sleep(2500 * time.Millisecond)
				if name != "refused" {
					delete(readers, reading)
				}
				for node, status := range statuses(t, ds, readers, http.MethodPost, "/unsafe/x") {
					if status != http.StatusNotFound {
						t.Errorf("%s answers %d on a route that was removed 2.5 s ago, want 404", node, status)
					}
				}
				before := len(ds.backends["plain-0"].receivedRequests())
				for node, status := range statuses(t, ds, readers, http.MethodGet, "/safe/x") {
					if status != http.StatusOK {
						t.Errorf("%s answers %d, want 200", node, status)
					}
				}
				if after := len(ds.backends["plain-0"].receivedRequests()); after != before {
					t.Errorf("%d requests reached a server that began to leave 2.5 s ago", after-before)
				}
				delete(readers, reading)
				time.Sleep(feedSettleTime)
				for _, nr := range readers {
					nr.takeReads()
				}
				if got, limit := countReads(readers), int(2*aloneReadsPerSecond*feedPeriod.Seconds()); got > limit {
					t.Errorf("the other nodes read the log %d times in %s, want at most %d", got, feedPeriod, limit)
				}
			})
		})
	}
}

// Routes are changed just as the node that reads for the zone freezes. The others must read them
// themselves within half of routes_ms (2.5 s), so that a read that fails can be repeated in time.
func TestDirectNodesReadSoonAfterTheirSourceFroze(t *testing.T) {
	const heardWithin = 1250 * time.Millisecond
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		runDirectSimulation(t, 1, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
			readers := startFeedNodes(ds)
			time.Sleep(phase)
			ds.net.freeze("entry-2", 10*time.Second)
			removeRoutes(ds, 2)
			delete(readers, "entry-2")
			time.Sleep(heardWithin)
			for node, status := range statuses(t, ds, readers, http.MethodPost, "/unsafe/x") {
				if status != http.StatusNotFound {
					t.Errorf("phase %s: %s answers %d, so it has not read the routes %s after its source froze", phase, node, status, heardWithin)
				}
			}
		})
	}
}

// A server's record vanishes while the node that reads for the zone cannot read the log. The other
// nodes were not told of the outage, and must keep the server until it has had time to return.
func TestDirectNodesKeepServersThatVanishedInAnOutage(t *testing.T) {
	runDirectSimulation(t, 1, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		readers := startFeedNodes(ds)
		ds.source.setDown(true)
		time.Sleep(outageTime)
		ds.source.appendWithoutWaking(direct.ServersTopic, direct.LogRecord{RemovedServer: "plain-0"})
		ds.source.setDown(false)
		for range 8 {
			time.Sleep(250 * time.Millisecond)
			for node, status := range statuses(t, ds, readers, http.MethodGet, "/safe/x") {
				if status != http.StatusOK {
					t.Fatalf("%s answers %d although the server may still return", node, status)
				}
			}
		}
	})
}

// A node that starts while others already read for the zone must not read for it as well.
func TestDirectNewNodeReliesOnThePresentReader(t *testing.T) {
	runDirectSimulation(t, 1, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		readers := startFeedNodes(ds)
		for _, name := range []string{"entry-0", "entry-9"} {
			readers[name] = &nodeReader{testSource: ds.source}
			ds.readers[name] = readers[name]
			ds.startEntry(name)
		}
		time.Sleep(feedSettleTime)
		for _, nr := range readers {
			nr.takeReads()
		}
		if got, limit := countReads(readers), int(2*aloneReadsPerSecond*feedPeriod.Seconds()); got > limit {
			t.Errorf("%d nodes read the log %d times in %s, want at most %d", len(readers), got, feedPeriod, limit)
		}
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: (&paths.Table{Version: 7}).Build()})
		time.Sleep(300 * time.Millisecond)
		for name, status := range statuses(t, ds, readers, http.MethodGet, "/safe/x") {
			if status != http.StatusNotFound {
				t.Errorf("%s answers %d after all routes were removed, want 404", name, status)
			}
		}
	})
}

// After a loss of power the records of the earlier runs stay in the log beside those of the new
// runs, which have the same addresses. Requests for an earlier run are not run by the new one, and
// a request that only finds such servers is refused although others are free.
func TestDirectSendsNothingToEarlierRunsOfServers(t *testing.T) {
	runDirectSimulation(t, 4, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		for ix := range 4 {
			id := fmt.Sprintf("plain-%d", ix)
			ds.backends[id].setScript(func(wr http.ResponseWriter, rq *http.Request) {
				if rq.Header.Get(headerServer) == id {
					wr.Header().Set(headerServer, id+"-second-run")
					wr.Header().Set(headerID, rq.Header.Get(headerID))
					wr.WriteHeader(http.StatusMisdirectedRequest)
					return
				}
				defaultAnswer(wr, rq)
			})
			ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{Server: &roster.Server{
				ID: id + "-second-run", Service: "ledger", Address: id + ":1", Zone: directZone, Places: 4, Born: 2,
			}})
		}
		time.Sleep(1200 * time.Millisecond)
		for range 8 {
			if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
				t.Errorf("unexpected response %+v", re)
			}
		}
		if got := len(ds.allRequests()); got != 8 {
			t.Errorf("the servers received %d requests, want each of 8 once", got)
		}
	})
}

// An answer that shows that the list of servers is out of date must not wait for the next regular
// read.
func TestDirectReadsServersAgainAfterAReplacedOne(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.backends["plain-0"].setScript(func(wr http.ResponseWriter, rq *http.Request) {
			if rq.Header.Get(headerServer) == "plain-0" {
				wr.Header().Set(headerServer, "plain-9")
				wr.Header().Set(headerID, rq.Header.Get(headerID))
				wr.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			defaultAnswer(wr, rq)
		})
		// Half a second has passed since the last regular read, and as long is left until the next.
		time.Sleep(1700 * time.Millisecond)
		ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{Server: &roster.Server{
			ID: "plain-9", Service: "ledger", Address: "plain-0:1", Zone: directZone, Places: 4, Born: 2,
		}})
		cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release")
		time.Sleep(50 * time.Millisecond)
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
			t.Errorf("response %+v 50 ms after an answer showed that the server was replaced, want 200", re)
		}
	})
}
