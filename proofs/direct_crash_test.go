package proofs

import (
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
		// throughOne is true if the request always comes through the same entry node.
		throughOne bool
	}{
		"safe call to a service":          {plain: 4, engines: 1, target: "/safe/x"},
		"call that may run once":          {plain: 4, engines: 1, target: "/unsafe/x"},
		"stream that may be resumed":      {plain: 1, engines: 4, target: "/stream/x", adapter: "a1"},
		"stream that must not run again":  {plain: 1, engines: 4, target: "/once/x", adapter: "a1"},
		"stream without any plain server": {engines: 4, target: "/stream/x", adapter: "a1"},
		"call through one entry node":     {plain: 4, engines: 1, target: "/safe/x", throughOne: true},
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, tc.plain, tc.engines, func(t *testing.T, ds *directSimulation, first *directCaller) {
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
