package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/direct"
)

// rewriteTime is the time after a restore within which servers that are alive write their records again.
const rewriteTime = 2 * time.Second

// announceAll writes the records of all servers again, as servers do periodically.
func (ds *directSimulation) announceAll(except ...string) {
	for id, ba := range ds.backends {
		if len(except) == 0 || id != except[0] {
			ds.announceServer(id, ba.service, ba.model, false)
		}
	}
}

// removeServer removes a server's record, as the log does after a server has left.
func (ds *directSimulation) removeServer(id string) {
	ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: id})
}

// restoreAndRewrite replaces the log by a copy, and lets all servers except one write their records
// again within rewriteTime.
func (ds *directSimulation) restoreAndRewrite(lengths [2]int, except string) {
	ds.source.restore(lengths)
	time.Sleep(rewriteTime)
	ds.announceAll(except)
	time.Sleep(2 * time.Second)
}

// countArrivals returns how many of some concurrent calls on a route reach a server.
func countArrivals(t *testing.T, ds *directSimulation, cl *directCaller, id, target string) int {
	t.Helper()
	before := len(ds.backends[id].receivedRequests())
	wg := sync.WaitGroup{}
	for ix := range 20 {
		wg.Go(func() {
			call := fmt.Sprintf("call-%d-%d", time.Now().UnixNano(), ix)
			if re := cl.sendAs(t.Context(), call, http.MethodPost, target, "", "release"); re.status != http.StatusOK {
				t.Errorf("unexpected response %+v", re)
			}
		})
	}
	wg.Wait()
	return len(ds.backends[id].receivedRequests()) - before
}

// The log comes back from a copy. What is written after that has lower offsets than what was read
// before, and must take effect nevertheless.
func TestDirectFollowsTheLogAfterItCameBackFromAnOlderCopy(t *testing.T) {
	runDirectSimulation(t, 3, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		lengths := ds.source.copyLengths()
		for range 30 {
			ds.announceAll()
		}
		time.Sleep(2 * time.Second)
		ds.restoreAndRewrite(lengths, "")
		ds.announceServer("plain-0", "ledger", "", true)
		removeRoutes(ds, 5)
		time.Sleep(2500 * time.Millisecond)
		if got := countArrivals(t, ds, cl, "plain-0", "/safe/x"); got != 0 {
			t.Errorf("%d requests reached a server that announced its leaving after the restore", got)
		}
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusNotFound {
			t.Errorf("a route removed after the restore answers %d, want 404", re.status)
		}
	})
}

// What a node has learned must not be undone by the copy: routes, leaving servers, servers that are
// gone. All requests are answered meanwhile.
func TestDirectOlderCopyOfTheLogUndoesNothing(t *testing.T) {
	runDirectSimulation(t, 4, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		lengths := ds.source.copyLengths()
		removeRoutes(ds, 5)
		ds.announceServer("plain-0", "ledger", "", true)
		ds.removeServer("plain-1")
		time.Sleep(3 * time.Second)
		ds.source.restore(lengths)
		for range 8 {
			time.Sleep(250 * time.Millisecond)
			for _, id := range []string{"plain-0", "plain-1"} {
				if got := countArrivals(t, ds, cl, id, "/safe/x"); got != 0 {
					t.Errorf("%d requests reached %s, which had left before the restore", got, id)
				}
			}
			if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", ""); re.status != http.StatusNotFound {
				t.Fatalf("a route removed before the restore answers %d, want 404", re.status)
			}
		}
	})
}

// A log that states its epoch from the first restore on only must be followed like any other.
func TestDirectFollowsALogThatStatesNoEpochBeforeTheFirstRestore(t *testing.T) {
	runDirectSimulation(t, 2, 1, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		ds.source.setEpoch(0)
		ds.startEntry("entry-2")
		other := ds.newCaller("entry-2")
		defer other.client.CloseIdleConnections()
		lengths := ds.source.copyLengths()
		for range 10 {
			ds.announceAll()
		}
		time.Sleep(2 * time.Second)
		ds.restoreAndRewrite(lengths, "")
		ds.announceServer("plain-0", "ledger", "", true)
		time.Sleep(2500 * time.Millisecond)
		if got := countArrivals(t, ds, other, "plain-0", "/safe/x"); got != 0 {
			t.Errorf("%d requests reached a server that announced its leaving after the restore", got)
		}
	})
}

// A server that is not in the copy must be used until it can be taken to be gone, and not after that.
func TestDirectServerMissingInTheCopyIsUsedUntilItsTimeToRewriteIsOver(t *testing.T) {
	runDirectSimulation(t, 2, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		lengths := ds.source.copyLengths()
		ds.startServer("plain-late", "ledger", "")
		time.Sleep(2 * time.Second)
		if countArrivals(t, ds, cl, "plain-late", "/unsafe/x") == 0 {
			t.Fatal("the new server gets no requests before the restore")
		}
		ds.source.restore(lengths)
		for passed := time.Duration(0); passed < roster.MaxRewriteDelay; passed += 200 * time.Millisecond {
			time.Sleep(200 * time.Millisecond)
			if countArrivals(t, ds, cl, "plain-late", "/unsafe/x") == 0 {
				t.Errorf("a server that is missing in the copy gets no requests %v later", passed)
			}
		}
		time.Sleep(roster.MaxRewriteDelay + 2*time.Second)
		if got := countArrivals(t, ds, cl, "plain-late", "/unsafe/x"); got != 0 {
			t.Errorf("%d requests reached a server that had not written its record again", got)
		}
		ds.announceServer("plain-late", "ledger", "", false)
		time.Sleep(2 * time.Second)
		if countArrivals(t, ds, cl, "plain-late", "/unsafe/x") == 0 {
			t.Error("the server gets no requests after it has written its record again")
		}
	})
}

// Nodes that rely on another node's reads, one that was cut off through two restores and one that
// starts later must all end in the present state.
func TestDirectNodesOfAZoneFollowTheLogThroughTwoRestores(t *testing.T) {
	runDirectSimulation(t, 3, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		cl.client.CloseIdleConnections()
		readers := startFeedNodes(ds)
		lengths := ds.source.copyLengths()
		for range 20 {
			ds.announceAll()
		}
		time.Sleep(2 * time.Second)
		readers["entry-3"].setRefused(true)
		ds.restoreAndRewrite(lengths, "")
		ds.restoreAndRewrite(lengths, "")
		ds.announceServer("plain-0", "ledger", "", true)
		removeRoutes(ds, 5)
		time.Sleep(2 * time.Second)
		readers["entry-3"].setRefused(false)
		time.Sleep(4 * time.Second)
		ds.startEntry("entry-9")
		readers["entry-9"] = nil
		for name := range readers {
			other := ds.newCaller(name)
			if got := countArrivals(t, ds, other, "plain-0", "/safe/x"); got != 0 {
				t.Errorf("%s sent %d requests to a server that announced its leaving after the restores", name, got)
			}
			if re := other.send(t.Context(), http.MethodPost, "/unsafe/x", "", ""); re.status != http.StatusNotFound {
				t.Errorf("%s answers %d for a route removed after the restores, want 404", name, re.status)
			}
			other.client.CloseIdleConnections()
		}
	})
}

// An answer of an older epoch that arrives late, and answers without an epoch, must change nothing.
func TestDirectIgnoresAnswersOfTheLogWithoutAValidEpoch(t *testing.T) {
	for name, epoch := range map[string]int64{"older": 1, "none": 0} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 2, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.restoreAndRewrite(ds.source.copyLengths(), "")
				ds.source.setEpoch(epoch)
				ds.announceServer("plain-0", "ledger", "", true)
				time.Sleep(2500 * time.Millisecond)
				if countArrivals(t, ds, cl, "plain-0", "/unsafe/x") == 0 {
					t.Error("a record of an answer without the present epoch took effect")
				}
				ds.source.setEpoch(2)
				time.Sleep(2500 * time.Millisecond)
				if got := countArrivals(t, ds, cl, "plain-0", "/unsafe/x"); got != 0 {
					t.Errorf("%d requests reached a leaving server once the epoch was right", got)
				}
			})
		})
	}
}
