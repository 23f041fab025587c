package direct

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/reply/fakes"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// askedRuns is the number of servers that are asked for their run at the same time.
	askedRuns = 200
	// askedPeers is the most peers that the settings name.
	askedPeers = 3
	// heapSlack is what connections and goroutines take beside bodies, in bytes.
	heapSlack = 32 << 20
)

// runProtocol takes the length of a report for the start of a run.
type runProtocol struct{ Protocol }

func (runProtocol) MatchesRequest(http.Header, *RequestInfo, bool) bool { return true }

func (runProtocol) ReportTarget() string { return "/report" }

func (runProtocol) ReportedRun(_ int, report []byte) (int64, error) { return int64(len(report)), nil }

// Servers send endless reports when they are asked for their run. The reports must not be used, and take no more memory than their
// budget.
func TestEndlessReportsHoldBoundedMemory(t *testing.T) {
	for name, en := range map[string]*fakes.Endless{
		"head": {Text: "HTTP/1.1 200 OK\r\nA: ", Block: "e"},
		"body": {Text: "HTTP/1.1 200 OK\r\n\r\n", Block: "e", StallAfter: reportBytesMax * 3 / 4},
	} {
		no := newNode(Options{Network: &loopback{}, Protocol: runProtocol{}, Logger: zerolog.Nop()})
		defer no.cancel()
		address := fakes.Serve(t, en.Answer)
		held := en.HeapWhenStalled(askedRuns, func() {
			wg := sync.WaitGroup{}
			for range askedRuns {
				wg.Go(func() {
					if born, err := no.fetchRun(t.Context(), address, pool.Want{}); err == nil {
						t.Errorf("a report with an endless %s: run %d", name, born)
					}
				})
			}
			wg.Wait()
		})
		if want := int64(allReportBytesMax + heapSlack); held > want {
			t.Errorf("%d reports with an endless %s: %d MiB, want at most %d", askedRuns, name, held>>20, want>>20)
		}
		t.Logf("%s: %d MiB", name, held>>20)
	}
}

func TestLongReportIsRead(t *testing.T) {
	no := newNode(Options{Network: &loopback{}, Protocol: runProtocol{}, Logger: zerolog.Nop()})
	defer no.cancel()
	report := strings.Repeat("r", reportBytesMax)
	if born, err := no.fetchRun(t.Context(), fakes.Serve(t, fakes.Send("HTTP/1.1 200 OK\r\n\r\n"+report, fakes.Close)), pool.Want{}); err != nil || born != reportBytesMax {
		t.Errorf("run %d, error %v", born, err)
	}
}

// Something else at the addresses of peers sends endless responses. They must not be used, and the memory of each is limited.
func TestEndlessStatesOfPeersHoldBoundedMemory(t *testing.T) {
	for name, en := range map[string]*fakes.Endless{
		"head": {Text: "HTTP/1.1 200 OK\r\nA: ", Block: "e"},
		"body": {Text: "HTTP/1.1 200 OK\r\n\r\n", Block: "e", StallAfter: maxPeerStateBytes * 3 / 4},
		"long": {Text: "HTTP/1.1 200 OK\r\n\r\n", Block: "e"},
	} {
		address := fakes.Serve(t, en.Answer)
		settings := conf.DirectEntrySettings{}
		for range askedPeers {
			settings.Peers = append(settings.Peers, address)
		}
		no := newNode(Options{Settings: settings, Network: &loopback{}, Logger: zerolog.Nop()})
		defer no.cancel()
		held := en.HeapWhenStalled(askedPeers, func() {
			if list := no.fetchPeerStates(t.Context()); len(list) > 0 {
				t.Errorf("an endless %s: %d states", name, len(list))
			}
		})
		// A buffer that grows is twice as long as what has arrived.
		if want := int64(askedPeers*2*maxPeerStateBytes + heapSlack); held > want {
			t.Errorf("%d peers with an endless %s: %d MiB, want at most %d", askedPeers, name, held>>20, want>>20)
		}
		t.Logf("%s: %d MiB", name, held>>20)
	}
}
