package proofs

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/direct"
)

const (
	// drainTime is the time after a node has passed on that a server is leaving from which on it must
	// send it nothing.
	drainTime = 2500 * time.Millisecond
	// pauseGrace is the time after a server has asked for a pause from which on it must hold, and
	// pauseArrivalsMax the number of requests from one node that may still reach it.
	pauseGrace       = 500 * time.Millisecond
	pauseArrivalsMax = 2
)

// demandingServer is a server that says in its answers that it is leaving, or asks for pauses.
type demandingServer struct {
	limitedServer
	leaving bool
	// pause is sent with each refusal while refusing.
	pause    time.Duration
	refusing bool
}

// answer answers a request, or refuses it and asks for a pause.
func (de *demandingServer) answer(wr http.ResponseWriter, rq *http.Request) {
	de.mu.Lock()
	de.arrivals = append(de.arrivals, time.Now())
	leaving, refusing, pause := de.leaving, de.refusing, de.pause
	de.mu.Unlock()
	if leaving {
		wr.Header().Set(headerLeaving, "1")
	}
	if refusing {
		wr.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		answerNotRun(wr, rq)
		return
	}
	defaultAnswer(wr, rq)
}

// set changes what the server says from now on.
func (de *demandingServer) set(fn func(de *demandingServer)) {
	de.mu.Lock()
	defer de.mu.Unlock()
	fn(de)
}

// demandCase is a kind of server and requests to it.
type demandCase struct {
	plain, engines  int
	target, adapter string
	server          string
	// logDown is true if the log is away all the while.
	logDown bool
}

var demandCases = map[string]demandCase{
	"plain service":                 {plain: 3, engines: 1, target: "/safe/x", server: "plain-0"},
	"calls that may run once":       {plain: 3, engines: 1, target: "/unsafe/x", server: "plain-0"},
	"engine":                        {engines: 3, target: "/stream/x", adapter: "a*", server: "engine-0"},
	"plain service, no log":         {plain: 3, engines: 1, target: "/safe/x", server: "plain-0", logDown: true},
	"engine, no log, streams once":  {engines: 3, target: "/once/x", adapter: "a*", server: "engine-0", logDown: true},
	"one of two, under steady load": {plain: 2, engines: 1, target: "/safe/x", server: "plain-0"},
}

// runDemandCase puts load on two entry nodes and calls a function once it runs.
func runDemandCase(t *testing.T, tc demandCase, fn func(t *testing.T, ds *directSimulation, de *demandingServer, dl *directLoad)) {
	runDirectSimulation(t, tc.plain, tc.engines, func(t *testing.T, ds *directSimulation, first *directCaller) {
		first.client.CloseIdleConnections()
		ds.startEntries(2)
		de := &demandingServer{}
		ds.backends[tc.server].setScript(de.answer)
		ds.source.setDown(tc.logDown)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dl := &directLoad{target: tc.target, adapter: tc.adapter, rates: evenRates(2, 15)}
		wg := dl.run(ctx, ds, 1)
		time.Sleep(2 * time.Second)
		fn(t, ds, de, dl)
		cancel()
		wg.Wait()
	})
}

// A server says in its answers that it is leaving; the log may not say so, or may be away. A node that
// has passed such an answer on must send it nothing more, and every request must be answered.
func TestDirectServerThatAnswersThatItIsLeavingGetsNothingMore(t *testing.T) {
	for name, tc := range demandCases {
		t.Run(name, func(t *testing.T) {
			runDemandCase(t, tc, func(t *testing.T, ds *directSimulation, de *demandingServer, dl *directLoad) {
				de.set(func(de *demandingServer) { de.leaving = true })
				time.Sleep(drainTime + time.Second)
				from := time.Now()
				if !tc.logDown {
					// The record still says that the server is ready, as it does until the server writes it.
					ds.announceServer(tc.server, ds.backends[tc.server].service, ds.backends[tc.server].model, false)
				}
				time.Sleep(6 * time.Second)
				if got := len(de.arrivalsFrom(from)); got > 0 {
					t.Errorf("%d requests reached a server that had answered that it was leaving", got)
				}
				if dl.refused+dl.failed > 0 {
					t.Errorf("%d requests refused, %d failed, want none", dl.refused, dl.failed)
				}
				if tc.logDown {
					return
				}
				// Its successor under the same ID is free at once. It has to be used, as all others leave.
				de.set(func(de *demandingServer) { de.leaving = false })
				ds.crashServer(tc.server, 500*time.Millisecond)
				time.Sleep(2 * time.Second)
				for id, ba := range ds.backends {
					if id != tc.server {
						ds.announceServer(id, ba.service, ba.model, true)
					}
				}
				time.Sleep(3 * time.Second)
				if got := len(de.arrivalsFrom(from)); got == 0 {
					t.Error("the next run of the server gets no requests")
				}
			})
		})
	}
}

// A server refuses and asks for a pause. Nothing must reach it for that long, and afterwards it must
// be used again.
func TestDirectServerThatAsksForAPauseGetsNothingInIt(t *testing.T) {
	const pause = 5 * time.Second
	for name, tc := range demandCases {
		t.Run(name, func(t *testing.T) {
			runDemandCase(t, tc, func(t *testing.T, _ *directSimulation, de *demandingServer, dl *directLoad) {
				begin := time.Now()
				de.set(func(de *demandingServer) { de.refusing, de.pause = true, pause })
				time.Sleep(time.Second)
				all := de.arrivalsFrom(begin)
				if len(all) == 0 {
					t.Fatal("no request reached the server that asks for a pause")
				}
				inPause := 0
				time.Sleep(time.Until(begin.Add(pause)))
				first := all[0]
				for _, at := range de.arrivalsFrom(first.Add(pauseGrace)) {
					if at.Before(first.Add(pause)) {
						inPause++
					}
				}
				if inPause > pauseArrivalsMax*len(dl.rates) {
					t.Errorf("%d requests reached the server in its pause, want at most %d from each of %d nodes", inPause, pauseArrivalsMax, len(dl.rates))
				}
				de.set(func(de *demandingServer) { de.refusing = false })
				time.Sleep(2 * pause)
				from := time.Now()
				time.Sleep(3 * time.Second)
				if len(de.arrivalsFrom(from)) == 0 {
					t.Error("the server gets no requests after its pause")
				}
				if dl.failed > 0 || dl.longestRefusal > 200*time.Millisecond {
					t.Errorf("%d requests failed; the longest refusal took %v", dl.failed, dl.longestRefusal)
				}
			})
		})
	}
}

// The record of a server lapses and comes back, or first lacks the start time of its run, while a pause goes on
// that the server has asked for. The pause must go on all the same, and end in time.
func TestDirectPauseOutlivesTheRecordOfItsServer(t *testing.T) {
	const (
		pause = 8 * time.Second
		// lapse is long enough for nodes to read the log in between.
		lapse = 1500 * time.Millisecond
	)
	for name, interrupt := range map[string]func(ds *directSimulation, tc demandCase){
		"removed and written again": func(ds *directSimulation, tc demandCase) {
			ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: tc.server})
			time.Sleep(lapse)
			ds.announceServer(tc.server, ds.backends[tc.server].service, ds.backends[tc.server].model, false)
		},
		"without a start time, then with it": func(ds *directSimulation, tc demandCase) {
			ba := ds.backends[tc.server]
			ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{Server: &roster.Server{
				ID: tc.server, Service: ba.service, Address: tc.server + ":1", Zone: directZone, Places: 4, Model: ba.model,
			}})
			time.Sleep(lapse)
			ds.announceServer(tc.server, ba.service, ba.model, false)
		},
	} {
		for _, kind := range []string{"plain service", "engine"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				tc := demandCases[kind]
				runDemandCase(t, tc, func(t *testing.T, ds *directSimulation, de *demandingServer, _ *directLoad) {
					de.set(func(de *demandingServer) { de.refusing, de.pause = true, pause })
					time.Sleep(time.Second)
					interrupt(ds, tc)
					from := time.Now()
					time.Sleep(pause - time.Second - lapse - pauseGrace)
					if got := len(de.arrivalsFrom(from)); got > 0 {
						t.Errorf("%d requests reached the server in its pause after its record came back", got)
					}
					de.set(func(de *demandingServer) { de.refusing = false })
					time.Sleep(2 * pause)
					if len(de.arrivalsFrom(from)) == 0 {
						t.Error("the server gets no requests after its pause")
					}
				})
			})
		}
	}
}

// All servers ask for a pause. Callers must be refused at once and told when the first pause ends, each
// another time, and be served then.
func TestDirectCallersLearnTheEndOfThePauseOfAllServers(t *testing.T) {
	const pause = 4 * time.Second
	runDirectSimulation(t, 2, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		servers := []*demandingServer{{}, {}}
		for ix, id := range []string{"plain-0", "plain-1"} {
			servers[ix].refusing, servers[ix].pause = true, pause
			ds.backends[id].setScript(servers[ix].answer)
		}
		begin := time.Now()
		for range 3 {
			cl.send(t.Context(), http.MethodGet, "/safe/x", "", "")
		}
		for _, de := range servers {
			de.set(func(de *demandingServer) { de.refusing = false })
		}
		mu, returns := sync.Mutex{}, map[string]bool{}
		wg := sync.WaitGroup{}
		for ix := range 20 {
			wg.Go(func() {
				re := cl.sendAs(t.Context(), "paused-"+strconv.Itoa(ix), http.MethodGet, "/safe/x", "", "")
				after, err := strconv.ParseFloat(re.header.Get("Retry-After"), 64)
				if re.status != http.StatusServiceUnavailable || err != nil || re.took > 100*time.Millisecond {
					t.Errorf("response %+v, want 503 with Retry-After at once", re)
					return
				}
				mu.Lock()
				returns[re.header.Get("Retry-After")] = true
				mu.Unlock()
				time.Sleep(time.Duration(after * float64(time.Second)))
				if time.Since(begin) < pause {
					t.Errorf("a caller was told to return after %v, before the pause of %v ends", time.Since(begin), pause)
				}
				if re := cl.sendAs(t.Context(), "back-"+strconv.Itoa(ix), http.MethodGet, "/safe/x", "", ""); re.status != http.StatusOK {
					t.Errorf("response %+v to a caller that returned as told", re)
				}
			})
		}
		wg.Wait()
		if len(returns) < 10 {
			t.Errorf("20 callers were told %d different times to return, want at least 10", len(returns))
		}
	})
}
