package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// limitWindow is the time over which arrivals at a server with a limit are counted. In any such
	// window, limitFactor times the limit and limitSlack more are allowed.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitLearnTime is the time after a server first names its limit from which on it must be kept.
	limitLearnTime = 4 * time.Second
)

// limitedServer is a server that names a limit in its answers while it has one.
type limitedServer struct {
	mu       sync.Mutex
	limit    float64
	limited  bool
	arrivals []time.Time
}

// answer names the limit and counts the arrival.
func (li *limitedServer) answer(wr http.ResponseWriter, rq *http.Request) {
	li.mu.Lock()
	li.arrivals = append(li.arrivals, time.Now())
	if li.limited {
		wr.Header().Set(headerLimit, strconv.FormatFloat(li.limit, 'f', -1, 64))
	}
	li.mu.Unlock()
	defaultAnswer(wr, rq)
}

// setLimit begins or ends a limit.
func (li *limitedServer) setLimit(limit float64, limited bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.limit, li.limited = limit, limited
}

// arrivalsFrom returns the arrivals from a time on.
func (li *limitedServer) arrivalsFrom(from time.Time) []time.Time {
	li.mu.Lock()
	defer li.mu.Unlock()
	list := []time.Time(nil)
	for _, at := range li.arrivals {
		if !at.Before(from) {
			list = append(list, at)
		}
	}
	return list
}

// mostInWindow returns the highest number of arrivals in any window from a time on.
func (li *limitedServer) mostInWindow(from time.Time) int {
	list, most, first := li.arrivalsFrom(from), 0, 0
	for ix, at := range list {
		for at.Sub(list[first]) >= limitWindow {
			first++
		}
		most = max(most, ix-first+1)
	}
	return most
}

// loadAdapters is the number of adapters that a load with "*" in its adapter's name is spread over.
const loadAdapters = 4

// directLoad sends requests through several entry nodes until its context ends.
type directLoad struct {
	target, adapter string
	// rates holds the requests in a second at each entry node.
	rates []float64

	mu                        sync.Mutex
	answered, refused, failed int
	longestRefusal            time.Duration
}

// run starts one source of requests for each entry node; requests do not wait for each other.
func (dl *directLoad) run(ctx context.Context, ds *directSimulation, seed uint64) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	for ix, rate := range dl.rates {
		rng := rand.New(rand.NewPCG(seed, uint64(ix)))
		wg.Go(func() {
			cl := ds.newCaller(fmt.Sprintf("entry-%d", ix+1))
			defer cl.client.CloseIdleConnections()
			for number := 0; ctx.Err() == nil; number++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				id := fmt.Sprintf("load-%d-%d", ix, number)
				adapter := strings.Replace(dl.adapter, "*", strconv.Itoa(number%loadAdapters), 1)
				wg.Go(func() {
					dl.record(cl.sendAs(context.WithoutCancel(ctx), id, http.MethodPost, dl.target, adapter, id))
				})
			}
		})
	}
	return wg
}

// record counts a response.
func (dl *directLoad) record(re directReply) {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	switch {
	case re.err == nil && re.status == http.StatusOK:
		dl.answered++
	case re.err == nil && re.status == http.StatusServiceUnavailable && re.header.Get("Retry-After") != "":
		dl.refused++
		dl.longestRefusal = max(dl.longestRefusal, re.took)
	default:
		dl.failed++
	}
}

// startEntries starts entry nodes until there are count of them.
func (ds *directSimulation) startEntries(count int) {
	for ix := 1; ix < count; ix++ {
		ds.startEntry(fmt.Sprintf("entry-%d", ix+1))
	}
}

// evenRates returns the same rate for each of count nodes.
func evenRates(count int, rate float64) []float64 {
	rates := make([]float64, count)
	for ix := range rates {
		rates[ix] = rate
	}
	return rates
}

// A server names a limit in the middle of a load that would send it far more. From a few seconds later
// on it must get no more than that, over all entry nodes, and what does not fit must go to the others.
func TestDirectServerGetsNoMoreRequestsThanTheLimitThatItNamed(t *testing.T) {
	for name, tc := range map[string]struct {
		plain, engines  int
		target, adapter string
		limit           float64
		rates           []float64
	}{
		"plain service, three nodes":        {plain: 3, engines: 1, target: "/safe/x", limit: 1.6, rates: evenRates(3, 8)},
		"engine, three nodes":               {engines: 3, target: "/stream/x", adapter: "a1", limit: 1.6, rates: evenRates(3, 8)},
		"calls that may run once":           {plain: 3, engines: 1, target: "/unsafe/x", limit: 1.3, rates: evenRates(3, 8)},
		"one node takes most":               {plain: 3, engines: 1, target: "/safe/x", limit: 4, rates: []float64{20, 1, 1}},
		"many nodes":                        {plain: 3, engines: 1, target: "/safe/x", limit: 8, rates: evenRates(13, 3)},
		"engine, a limit below one":         {engines: 3, target: "/stream/x", adapter: "a1", limit: 0.3, rates: evenRates(3, 8)},
		"limit of zero":                     {plain: 3, engines: 1, target: "/safe/x", limit: 0, rates: evenRates(3, 8)},
		"more than is sent":                 {plain: 3, engines: 1, target: "/safe/x", limit: 1000, rates: evenRates(3, 8)},
		"streams that must not run again":   {engines: 3, target: "/once/x", adapter: "a1", limit: 2, rates: evenRates(3, 8)},
		"a single server, nowhere to go to": {plain: 1, engines: 1, target: "/safe/x", limit: 3, rates: evenRates(3, 4)},
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, tc.plain, tc.engines, func(t *testing.T, ds *directSimulation, first *directCaller) {
				first.client.CloseIdleConnections()
				ds.startEntries(len(tc.rates))
				li := &limitedServer{}
				id := "engine-0"
				if tc.adapter == "" {
					id = "plain-0"
				}
				ds.backends[id].setScript(li.answer)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				dl := &directLoad{target: tc.target, adapter: tc.adapter, rates: tc.rates}
				wg := dl.run(ctx, ds, 1)
				time.Sleep(3 * time.Second)
				li.setLimit(tc.limit, true)
				time.Sleep(limitLearnTime)
				from := time.Now()
				time.Sleep(20 * time.Second)
				most, allowed := li.mostInWindow(from), limitFactor*tc.limit*limitWindow.Seconds()+limitSlack
				if float64(most) > allowed {
					t.Errorf("%d requests in %v at a limit of %v a second, want at most %.0f", most, limitWindow, tc.limit, allowed)
				}
				li.setLimit(0, false)
				time.Sleep(10 * time.Second)
				before := len(li.arrivalsFrom(from))
				time.Sleep(5 * time.Second)
				if tc.limit >= 1 && len(li.arrivalsFrom(from))-before < 10 {
					t.Errorf("%d requests in 5 s, 10 s after the limit has ended", len(li.arrivalsFrom(from))-before)
				}
				cancel()
				wg.Wait()
				t.Logf("at most %d requests in %v, allowed %.0f; %d answered, %d refused, %d failed", most, limitWindow, allowed, dl.answered, dl.refused, dl.failed)
				if dl.failed > 0 || dl.longestRefusal > 200*time.Millisecond {
					t.Errorf("%d requests failed; the longest refusal took %v, want none and at most 200ms", dl.failed, dl.longestRefusal)
				}
			})
		})
	}
}

const (
	// limitUseMin is the least part of a limit that must be used when demand is above it.
	limitUseMin = 0.9
	// limitUsePeriod is how long the use of a limit is counted.
	limitUsePeriod = 30 * time.Second
)

// unevenRates returns rates of which the first node has four fifths.
func unevenRates(count int, total float64) []float64 {
	rates := evenRates(count, total/5/float64(count-1))
	rates[0] = total * 4 / 5
	return rates
}

// One entry node gets most of the requests for the only server of a service, twice what that has named
// as its limit. The limit must be kept, and used up.
func TestDirectLimitIsUsedUpByUnevenLoad(t *testing.T) {
	const limit = 8
	for _, nodes := range []int{2, 13, 68} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			runDirectSimulation(t, 1, 1, func(t *testing.T, ds *directSimulation, first *directCaller) {
				first.client.CloseIdleConnections()
				ds.startEntries(nodes)
				li := &limitedServer{limit: limit, limited: true}
				ds.backends["plain-0"].setScript(li.answer)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				dl := &directLoad{target: "/safe/x", rates: unevenRates(nodes, 2*limit)}
				wg := dl.run(ctx, ds, 1)
				time.Sleep(3 * limitLearnTime)
				from := time.Now()
				time.Sleep(limitUsePeriod)
				most, allowed := li.mostInWindow(from), limitFactor*limit*limitWindow.Seconds()+limitSlack
				use := float64(len(li.arrivalsFrom(from))) / (limit * limitUsePeriod.Seconds())
				cancel()
				wg.Wait()
				t.Logf("at most %d requests in %v, allowed %.0f; %.2f of the limit used", most, limitWindow, allowed, use)
				if float64(most) > allowed || use < limitUseMin {
					t.Errorf("%d requests in %v, %.2f used; want at most %.0f and at least %.2f", most, limitWindow, use, allowed, limitUseMin)
				}
				if dl.failed > 0 || dl.longestRefusal > 200*time.Millisecond {
					t.Errorf("%d requests failed; the longest refusal took %v", dl.failed, dl.longestRefusal)
				}
			})
		})
	}
}

// The agent that keeps the limit freezes, entry nodes start and stop. The limit must be kept all the
// while.
func TestDirectLimitIsKeptWhileItsAgentFreezesAndNodesRestart(t *testing.T) {
	const limit = 4
	runDirectSimulation(t, 2, 2, func(t *testing.T, ds *directSimulation, first *directCaller) {
		first.client.CloseIdleConnections()
		ds.startEntries(4)
		li := &limitedServer{limit: limit, limited: true}
		ds.backends["plain-0"].setScript(li.answer)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dl := &directLoad{target: "/safe/x", rates: evenRates(4, 8)}
		wg := dl.run(ctx, ds, 1)
		time.Sleep(2 * limitLearnTime)
		from := time.Now()
		ds.net.freeze("engine-0", 6*time.Second)
		time.Sleep(8 * time.Second)
		ds.net.freeze("engine-1", 6*time.Second)
		ds.startEntry("entry-5")
		time.Sleep(8 * time.Second)
		ds.net.partition("engine-0", "entry-2")
		time.Sleep(8 * time.Second)
		most, allowed := li.mostInWindow(from), limitFactor*limit*limitWindow.Seconds()+limitSlack
		cancel()
		wg.Wait()
		t.Logf("at most %d requests in %v, allowed %.0f; %d answered, %d refused, %d failed", most, limitWindow, allowed, dl.answered, dl.refused, dl.failed)
		if float64(most) > allowed {
			t.Errorf("%d requests in %v at a limit of %v a second, want at most %.0f", most, limitWindow, limit, allowed)
		}
	})
}
