package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/direct"
)

// runFeedNodes runs a test at entry nodes of which one reads the log for the others, and gives it the name of the
// one that reads.
func runFeedNodes(t *testing.T, plain int, fn func(t *testing.T, ds *directSimulation, readers map[string]*nodeReader, reading string)) {
	t.Helper()
	runDirectSimulation(t, plain, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		readers := startFeedNodes(ds)
		time.Sleep(feedPeriod)
		reading, most := "", 0
		for name, nr := range readers {
			if reads := nr.takeReads(); reads > most {
				reading, most = name, reads
			}
		}
		fn(t, ds, readers, reading)
	})
}

// sendThrough sends requests through an entry node and returns their statuses.
func (ds *directSimulation) sendThrough(t *testing.T, entry string, count int) map[int]int {
	t.Helper()
	cl := ds.newCaller(entry)
	defer cl.client.CloseIdleConnections()
	statuses := map[int]int{}
	for number := range count {
		statuses[cl.sendAs(t.Context(), fmt.Sprintf("%s-%d-%d", entry, time.Now().UnixNano(), number), http.MethodPost, "/unsafe/x", "", "release").status]++
	}
	return statuses
}

// The node that reads the log for its zone has learned from an answer that a server is leaving. The server's record,
// which says the same, must reach the nodes that rely on it all the same. They sent requests to the server until it
// had exited.
func TestDirectNodesLearnOfALeavingServerThatToldTheReadingNode(t *testing.T) {
	runFeedNodes(t, 2, func(t *testing.T, ds *directSimulation, readers map[string]*nodeReader, reading string) {
		ds.backends["plain-0"].setScript(func(wr http.ResponseWriter, rq *http.Request) {
			wr.Header().Set(headerLeaving, "1")
			defaultAnswer(wr, rq)
		})
		ds.sendThrough(t, reading, 8)
		told := len(ds.backends["plain-0"].receivedRequests())
		if told == 0 {
			t.Fatal("the reading node sent nothing to the leaving server")
		}
		ds.announceServer("plain-0", "ledger", "", true)
		time.Sleep(2500 * time.Millisecond)
		for name := range readers {
			ds.sendThrough(t, name, 8)
		}
		if late := len(ds.backends["plain-0"].receivedRequests()) - told; late > 0 {
			t.Errorf("%d requests reached the leaving server 2.5 s after its record or later", late)
		}
	})
}

// A record that is removed and written again between two reads of the node that reads for its zone must leave the
// server known to the others.
func TestDirectNodesKeepAServerWhoseRecordWasWrittenAgain(t *testing.T) {
	runFeedNodes(t, 1, func(t *testing.T, ds *directSimulation, readers map[string]*nodeReader, _ string) {
		for range 3 {
			ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: "plain-0"})
			ds.announceServer("plain-0", "ledger", "", false)
			time.Sleep(3 * time.Second)
			for name := range readers {
				if statuses := ds.sendThrough(t, name, 4); statuses[http.StatusOK] != 4 {
					t.Errorf("%s answered 4 requests with statuses %v, want 200", name, statuses)
				}
			}
		}
	})
}

// A server at whose address the reading node has found another one must not be kept from the others, who have not,
// when its record shows that it is there again.
func TestDirectNodesLearnOfAServerThatOnlyTheReadingNodeFoundReplaced(t *testing.T) {
	runFeedNodes(t, 2, func(t *testing.T, ds *directSimulation, readers map[string]*nodeReader, reading string) {
		ds.backends["plain-0"].setScript(func(wr http.ResponseWriter, rq *http.Request) {
			wr.Header().Set(headerServer, "another")
			wr.Header().Set(headerID, rq.Header.Get(headerID))
			wr.WriteHeader(http.StatusMisdirectedRequest)
		})
		ds.sendThrough(t, reading, 8)
		ds.backends["plain-0"].setScript(nil)
		ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{Server: &roster.Server{
			ID: "plain-0", Service: "ledger", Address: "plain-0:1", Zone: directZone, Places: 8, Born: 2,
		}})
		ds.announceServer("plain-1", "ledger", "", true)
		time.Sleep(3 * time.Second)
		for name := range readers {
			if statuses := ds.sendThrough(t, name, 4); statuses[http.StatusOK] != 4 {
				t.Errorf("%s answered 4 requests with statuses %v, want 200", name, statuses)
			}
		}
	})
}
