package proofs

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crashingBody is the body of the request that crashes every server that begins to run it.
	crashingBody = "crashes the server"
	// crashDowntime is how long a crashed server stays away.
	crashDowntime = 3 * time.Second
	// verdictTime is the time after the third crash in which all entry nodes must learn of it.
	verdictTime = 4 * time.Second
	// lateArrivalsMax is the number of times that the request may reach a server after that.
	lateArrivalsMax = 3
)

// crashLog records when the crashing request reached servers.
type crashLog struct {
	mu       sync.Mutex
	arrivals []time.Time
}

// crashOnBody makes all servers crash when they get the crashing request.
func (ds *directSimulation) crashOnBody(cl *crashLog) {
	for id, ba := range ds.backends {
		ba.setScript(func(wr http.ResponseWriter, rq *http.Request) {
			if !ba.lastBodyIs(crashingBody) {
				defaultAnswer(wr, rq)
				return
			}
			cl.mu.Lock()
			cl.arrivals = append(cl.arrivals, time.Now())
			cl.mu.Unlock()
			ds.crashServer(id, crashDowntime)
		})
	}
}

// lastBodyIs reports whether the last request that the server received has a body.
func (ba *backend) lastBodyIs(body string) bool {
	list := ba.receivedRequests()
	return strings.HasSuffix(list[len(list)-1], body)
}

// afterThirdCrash returns how many arrivals there were and how many of them came later than
// verdictTime after the third.
func (cl *crashLog) afterThirdCrash() (all, late int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, at := range cl.arrivals {
		if len(cl.arrivals) >= 3 && at.Sub(cl.arrivals[2]) > verdictTime {
			late++
		}
	}
	return len(cl.arrivals), late
}

// A request that crashes every server that runs it comes again and again, through other entry nodes.
// After three crashes it must be refused everywhere, while all other requests are still answered.
func TestDirectRequestThatCrashedThreeServersIsSentToNoOther(t *testing.T) {
	for name, tc := range map[string]struct {
		plain, engines  int
		target, adapter string
		// throughOne is true if the request always comes through the same entry node, renamed if crashed
		// servers start again under other IDs.
		throughOne, renamed bool
	}{
		"safe call to a service":          {plain: 4, engines: 1, target: "/safe/x"},
		"call that may run once":          {plain: 4, engines: 1, target: "/unsafe/x"},
		"stream that may be resumed":      {plain: 1, engines: 4, target: "/stream/x", adapter: "a1"},
		"stream that must not run again":  {plain: 1, engines: 4, target: "/once/x", adapter: "a1"},
		"stream without any plain server": {engines: 4, target: "/stream/x", adapter: "a1"},
		"call through one entry node":     {plain: 4, engines: 1, target: "/safe/x", throughOne: true},
		"servers that change their IDs":   {plain: 3, engines: 1, target: "/safe/x", renamed: true},
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, tc.plain, tc.engines, func(t *testing.T, ds *directSimulation, first *directCaller) {
				ds.renamed = tc.renamed
				ds.startEntry("entry-2")
				ds.startEntry("entry-3")
				callers := []*directCaller{first, ds.newCaller("entry-2"), ds.newCaller("entry-3")}
				if tc.throughOne {
					callers = callers[:1]
				}
				cl := &crashLog{}
				ds.crashOnBody(cl)
				for round := range 60 {
					re := callers[round%len(callers)].send(t.Context(), http.MethodPost, tc.target, tc.adapter, crashingBody)
					if re.status == http.StatusOK && re.err == nil {
						t.Errorf("the crashing request was answered: %+v", re)
					}
					time.Sleep(400 * time.Millisecond)
				}
				all, late := cl.afterThirdCrash()
				t.Logf("%d arrivals in all, %d later than %v after the third crash", all, late, verdictTime)
				if all < 3 || late > lateArrivalsMax {
					t.Errorf("%d arrivals later than %v after the third crash, want at most %d; %d in all", late, verdictTime, lateArrivalsMax, all)
				}
				// A node that starts later must learn the verdict before it is ready for long.
				ds.startEntry("entry-4")
				newest := ds.newCaller("entry-4")
				re := newest.send(t.Context(), http.MethodPost, tc.target, tc.adapter, crashingBody)
				if after, _ := cl.afterThirdCrash(); after != all || re.status != http.StatusServiceUnavailable || !strings.Contains(re.body, "quarantined") {
					t.Errorf("a node that started later sent the request on, or answered %+v", re)
				}
				newest.client.CloseIdleConnections()
				for ix, caller := range callers {
					if re := caller.send(t.Context(), http.MethodPost, tc.target, tc.adapter, "another body"); re.status != http.StatusOK || re.err != nil {
						t.Errorf("entry node %d: another request got %+v", ix+1, re)
					}
					caller.client.CloseIdleConnections()
				}
			})
		})
	}
}

// Requests that were in flight at crashes by chance, the same ones again and again, must not be
// refused for that: each of them is answered between two crashes.
func TestDirectRequestsBesideCrashesAreNotRefused(t *testing.T) {
	runDirectSimulation(t, 3, 3, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(150 * time.Millisecond)
			defaultAnswer(wr, rq)
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		crashed := 0
		go func() {
			for ctx.Err() == nil {
				for _, id := range []string{"plain-0", "engine-0", "plain-1", "engine-1", "plain-2", "engine-2"} {
					time.Sleep(2500 * time.Millisecond)
					if ctx.Err() == nil {
						ds.crashServer(id, time.Second)
						crashed++
					}
				}
			}
		}()
		answered := 0
		for range 100 {
			for _, rq := range [...]struct{ target, adapter string }{{"/safe/x", ""}, {"/unsafe/x", ""}, {"/stream/x", "a1"}, {"/once/x", "a2"}} {
				re := cl.send(t.Context(), http.MethodPost, rq.target, rq.adapter, "always the same")
				if strings.Contains(re.body, "quarantined") {
					t.Errorf("%s was refused after crashes that it had not caused", rq.target)
				}
				if re.status == http.StatusOK && re.err == nil {
					answered++
				}
			}
		}
		if crashed < 10 || answered < 360 {
			t.Errorf("%d crashes, %d of 400 requests answered; want at least 10 and 360", crashed, answered)
		}
	})
}

// The agent that passes reports on freezes before the crashes; the other one must do.
func TestDirectCrashVerdictReachesAllNodesPastAFrozenAgent(t *testing.T) {
	runDirectSimulation(t, 5, 3, func(t *testing.T, ds *directSimulation, first *directCaller) {
		ds.startEntry("entry-2")
		ds.startEntry("entry-3")
		cl := &crashLog{}
		ds.crashOnBody(cl)
		ds.net.freeze("engine-0", 30*time.Second)
		callers := []*directCaller{first, ds.newCaller("entry-2"), ds.newCaller("entry-3")}
		for round := range 30 {
			callers[round%len(callers)].send(t.Context(), http.MethodPost, "/safe/x", "", crashingBody)
			time.Sleep(600 * time.Millisecond)
		}
		if all, late := cl.afterThirdCrash(); all < 3 || late > lateArrivalsMax {
			t.Errorf("%d arrivals later than %v after the third crash, want at most %d; %d in all", late, verdictTime, lateArrivalsMax, all)
		}
		for _, caller := range callers {
			caller.client.CloseIdleConnections()
		}
	})
}
