package proofs

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// grantsExpiry is more than the time after which the grants of a silent connection end.
	grantsExpiry = 20 * time.Second
	// silencePhases is the number of moments, evenly spread between two checks of a connection, at which it falls silent.
	silencePhases = 20
)

// silenceAgent silences the connection between the entry node and the agent of the engine after a part of a second.
func (ds *directSimulation) silenceAgent(phase int) {
	time.Sleep(time.Duration(phase) * time.Second / silencePhases)
	ds.net.silenceOpenConnections("entry-1", "engine-0:7")
}

// holdAdapters sends one request for each adapter, whose answers begin and then pause until leave is called.
func (ds *directSimulation) holdAdapters(adapters ...string) (leave func()) {
	ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
		writeSealHeaders(wr, rq)
		writeEvents(wr, rq, 2)
		<-rq.Context().Done()
	})
	ctx, cancel := context.WithCancel(ds.tb.Context())
	wg := sync.WaitGroup{}
	for _, adapter := range adapters {
		wg.Go(func() { ds.sendPatiently(ctx, "entry-1", "held-"+adapter, "/once/x", adapter, nil) })
	}
	time.Sleep(500 * time.Millisecond)
	return func() {
		cancel()
		wg.Wait()
		ds.setAllScripts(defaultAnswer)
	}
}

// The connection between an entry node and an agent falls silent, at any time between two checks of its ends. Callers
// leave meanwhile, so that the releases of their grants are lost. The entry node has a new connection 0.9 s before the agent
// gives up the old one. The grants must end all the same: their adapters stayed on the engine for good, and requests for
// all others were refused.
func TestDirectGrantsOfASilentConnectionEnd(t *testing.T) {
	for name, leavesAfter := range map[string]time.Duration{"in the silence": 100 * time.Millisecond, "as it ends": 3 * time.Second} {
		for phase := range silencePhases {
			t.Run(fmt.Sprintf("%s, phase %d", name, phase), func(t *testing.T) {
				runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
					ds.patientRoutes()
					// The engine has two places for adapters.
					leave := ds.holdAdapters("a1", "a2")
					ds.silenceAgent(phase)
					time.Sleep(leavesAfter)
					leave()
					time.Sleep(grantsExpiry)
					for number := 3; number <= 6; number++ {
						re := cl.send(t.Context(), http.MethodPost, "/once/x", fmt.Sprintf("a%d", number), "prompt")
						if re.status != http.StatusOK || re.body != completeStream() {
							t.Errorf("a%d: status %d, error %v, want the stream", number, re.status, re.err)
						}
					}
				})
			})
		}
	}
}

// Requests that run when the connection of their grants is replaced must keep their adapters until they end, whatever
// others ask for meanwhile.
func TestDirectReplacedConnectionKeepsGrantsInUse(t *testing.T) {
	const (
		answerTime = 18 * time.Second
		askTime    = 2 * time.Second
	)
	for phase := range silencePhases {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.patientRoutes()
				ba := ds.backends["engine-0"]
				ba.setScript(func(wr http.ResponseWriter, rq *http.Request) {
					writeSealHeaders(wr, rq)
					writeEvents(wr, rq, 2)
					time.Sleep(answerTime)
					ba.mu.Lock()
					defer ba.mu.Unlock()
					if adapter := rq.Header.Get(headerAdapter); ba.loaded[adapter] == 0 {
						t.Errorf("%s was unloaded under a request that ran", adapter)
					}
				})
				wg, start := sync.WaitGroup{}, time.Now()
				for _, adapter := range []string{"a1", "a2"} {
					wg.Go(func() { ds.sendPatiently(t.Context(), "entry-1", "in-use-"+adapter, "/once/x", adapter, nil) })
				}
				time.Sleep(500 * time.Millisecond)
				ds.silenceAgent(phase)
				for time.Since(start) < answerTime-askTime {
					ctx, cancel := context.WithTimeout(t.Context(), askTime)
					if re := cl.send(ctx, http.MethodPost, "/once/x", "a3", "prompt"); re.status == http.StatusOK {
						t.Error("a third adapter was loaded while the two others were in use")
					}
					cancel()
					time.Sleep(askTime / 10)
				}
				wg.Wait()
			})
		})
	}
}

// idleFrames ignores the frames of an agent.
type idleFrames struct{}

func (idleFrames) HandleFrame(*wire.Frame)         {}
func (idleFrames) HandleHeartbeat(*wire.Heartbeat) {}
func (idleFrames) Heartbeat() (he wire.Heartbeat)  { return he }

// connectAgent connects to the agent of the engine as an entry node of the test's own.
func (ds *directSimulation) connectAgent(ctx context.Context) *link.Conn {
	he := &wire.Hello{Entry: "entry-9", EntryBoot: "boot", Zone: directZone}
	co, _, err := link.Connect(ctx, ds.net.forHost("entry-9"), "engine-0:7", he)
	if err != nil {
		ds.tb.Fatal(err)
	}
	go func() { _ = co.Run(ctx, idleFrames{}) }()
	return co
}

// What an entry node has sent on a connection that it has given up may come late, after its new connection. It waits for
// no answer to it any more, so that the grants would never be given back.
func TestDirectLateReservationOnAReplacedConnectionGetsNoGrant(t *testing.T) {
	for _, held := range []bool{false, true} {
		t.Run(fmt.Sprintf("held %t", held), func(t *testing.T) {
			runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				earlier := ds.connectAgent(ctx)
				ds.connectAgent(ctx)
				time.Sleep(100 * time.Millisecond)
				for _, adapter := range []string{"a1", "a2"} {
					re := &wire.Reserve{Attempt: "late-" + adapter, Model: testModel, Adapter: adapter, Held: held, Budget: 4000, PromptTokens: 500, OutputTokens: 20}
					if err := earlier.Send(ctx, &wire.Frame{Reserve: re}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second)
				for number := 1; number <= 6; number++ {
					re := cl.send(t.Context(), http.MethodPost, "/once/x", fmt.Sprintf("a%d", number), "prompt")
					if re.status != http.StatusOK || re.body != completeStream() {
						t.Errorf("a%d: status %d, error %v, want the stream", number, re.status, re.err)
					}
				}
			})
		})
	}
}

// The ends of a connection check it at times of their own, so that an entry node may have given up a silent connection long
// before the agent does, or long after. Whenever its new one opens, the grants of the old one must end.
func TestDirectGrantsOfAReplacedConnectionEndWheneverItsEndsCheck(t *testing.T) {
	const (
		latestOpening = 5 * time.Second
		openingStep   = 250 * time.Millisecond
	)
	for opens := time.Duration(0); opens <= latestOpening; opens += openingStep {
		t.Run(fmt.Sprintf("new one after %v", opens), func(t *testing.T) {
			runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				earlier := ds.connectAgent(ctx)
				for _, adapter := range []string{"a1", "a2"} {
					re := &wire.Reserve{Attempt: "held-" + adapter, Model: testModel, Adapter: adapter, Budget: 4000, PromptTokens: 500, OutputTokens: 20}
					if err := earlier.Send(ctx, &wire.Frame{Reserve: re}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2 * time.Second)
				ds.net.silenceOpenConnections("entry-9", "engine-0:7")
				time.Sleep(opens)
				ds.connectAgent(ctx)
				time.Sleep(grantsExpiry)
				for number := 3; number <= 6; number++ {
					re := cl.send(t.Context(), http.MethodPost, "/once/x", fmt.Sprintf("a%d", number), "prompt")
					if re.status != http.StatusOK || re.body != completeStream() {
						t.Errorf("a%d: status %d, error %v, want the stream", number, re.status, re.err)
					}
				}
			})
		})
	}
}

// grantFrames passes on the grants that an agent gives.
type grantFrames struct {
	idleFrames
	grants chan string
}

// HandleFrame passes a grant on.
func (gf grantFrames) HandleFrame(fr *wire.Frame) {
	if fr.Grant != nil {
		gf.grants <- fr.Grant.Attempt
	}
}

// An entry node has given up a connection before the agent had its Hello, which arrives after that of the next one. What
// the entry node reserves on the next one must still be granted.
func TestDirectLateHelloReplacesNoLaterConnection(t *testing.T) {
	for _, closes := range []bool{false, true} {
		t.Run(fmt.Sprintf("closes %t", closes), func(t *testing.T) {
			runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, _ *directCaller) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				he := &wire.Hello{Entry: "entry-9", EntryBoot: "boot", Zone: directZone}
				givenUp, err := link.Dial(ctx, ds.net.forHost("entry-9"), "engine-0:7")
				if err != nil {
					t.Fatal(err)
				}
				defer givenUp.ForceClose()
				later, _, err := link.Connect(ctx, ds.net.forHost("entry-9"), "engine-0:7", he)
				if err != nil {
					t.Fatal(err)
				}
				gf := grantFrames{grants: make(chan string, 10)}
				go func() { _ = later.Run(ctx, gf) }()
				time.Sleep(100 * time.Millisecond)
				if err := givenUp.WriteFrame(ctx, &wire.Frame{Hello: he}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
				if closes {
					givenUp.ForceClose()
				}
				time.Sleep(time.Second)
				re := &wire.Reserve{Attempt: "after", Model: testModel, Adapter: "a1", Budget: 4000, PromptTokens: 500, OutputTokens: 20}
				if err := later.Send(ctx, &wire.Frame{Reserve: re}); err != nil {
					t.Fatal(err)
				}
				select {
				case <-gf.grants:
				case <-time.After(4 * time.Second):
					t.Error("no grant on the connection in use")
				}
			})
		})
	}
}

// Callers leave at the very time at which the connection to the agent is replaced. What the entry node reports in use on the
// new one must not follow its release: the adapters stayed on the engine for good.
func TestDirectGrantReleasedAsItsConnectionIsReplacedEnds(t *testing.T) {
	const (
		// The entry node's new connection opens 104 ms after the end of the earlier one, as the log of the simulation shows,
		// and it learns 1 ms later that callers have left.
		leavesAfter = 103 * time.Millisecond
		rounds      = 40
	)
	for round := range rounds {
		t.Run(fmt.Sprintf("round %d", round), func(t *testing.T) {
			runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				ds.patientRoutes()
				leave := ds.holdAdapters("a1", "a2")
				for _, co := range ds.net.connsWhere(func(co *conn) bool { return co.address == "engine-0:7" && co.hosts == hostPair("entry-1", "engine-0") }) {
					co.cut()
				}
				time.Sleep(leavesAfter)
				leave()
				time.Sleep(grantsExpiry)
				for number := 3; number <= 6; number++ {
					re := cl.send(t.Context(), http.MethodPost, "/once/x", fmt.Sprintf("a%d", number), "prompt")
					if re.status != http.StatusOK || re.body != completeStream() {
						t.Errorf("a%d: status %d, error %v, want the stream", number, re.status, re.err)
					}
				}
			})
		})
	}
}
