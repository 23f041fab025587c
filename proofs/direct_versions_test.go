package proofs

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/entry/direct"
)

// A request waits for memory at an engine that holds an older version of its adapter, in use by others. Once it gets a
// grant, the time of that version is over, and it must begin on the newer one.
func TestDirectRequestThatHasWaitedBeginsOnNoOutdatedVersion(t *testing.T) {
	const settleTime = 2500 * time.Millisecond
	runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, first *directCaller) {
		first.client.CloseIdleConnections()
		ds.patientRoutes()
		ba := ds.backends["engine-0"]
		ba.mu.Lock()
		ba.memoryTokens = 2000 // three requests of 520 tokens fit
		ba.mu.Unlock()
		time.Sleep(time.Second)
		mu, versions := sync.Mutex{}, map[string]int{}
		lengths := map[string]time.Duration{"other": 10 * time.Second, "long": 10 * time.Second, "short": 3500 * time.Millisecond}
		ba.setScript(func(wr http.ResponseWriter, rq *http.Request) {
			id := rq.Header.Get(headerID)
			ba.mu.Lock()
			version := ba.loaded["a1"]
			ba.mu.Unlock()
			mu.Lock()
			versions[id] = version
			mu.Unlock()
			writeSealHeaders(wr, rq)
			wr.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(wr).Flush()
			time.Sleep(lengths[id])
			writeEvents(wr, rq, streamEventCount)
		})
		wg := sync.WaitGroup{}
		// Both of the engine's places for adapters are in use, so that it cannot load the newer version meanwhile.
		adapters := map[string]string{"other": "a2", "long": "a1", "short": "a1"}
		for _, id := range []string{"other", "long", "short"} {
			wg.Go(func() { ds.sendPatiently(t.Context(), "entry-1", id, "/once/x", adapters[id], nil) })
			time.Sleep(200 * time.Millisecond)
		}
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Version: &direct.AdapterVersion{Model: testModel, Adapter: "a1", Version: 2}})
		announced := time.Now()
		time.Sleep(100 * time.Millisecond)
		wg.Go(func() {
			re := ds.sendPatiently(t.Context(), "entry-1", "waits", "/once/x", "a1", nil)
			if re.status != http.StatusOK || time.Since(announced) < settleTime {
				t.Errorf("status %d after %v, want 200 after a wait", re.status, time.Since(announced))
			}
		})
		wg.Wait()
		if versions["long"] != 1 || versions["waits"] != 2 {
			t.Errorf("requests began on versions %v, want the one that waited to begin on 2", versions)
		}
	})
}
