package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/quota"
	"github.com/bambooladder/bambooladder/entry/direct"
)

const (
	// quotaPerSecond and quotaBurst are the quota of the organisation in tokens, quotaPlain what a request counts as.
	quotaPerSecond = 20_000
	quotaBurst     = 20_000
	quotaPlain     = 1500
	// quotaOver and quotaSlack are by how much a window may exceed the quota, quotaUseMin the least part of it that must
	// be admitted when demand is above it.
	quotaOver   = 0.1
	quotaSlack  = 17_000
	quotaUseMin = 0.98
	quotaKey    = "key of north"
)

// quotaTable returns the routes with an organisation that has a quota.
func quotaTable(version int64, perSecond, burst float64) *paths.Table {
	ta := routeTable(version)
	ta.Organisations = []paths.Organisation{{
		Name: "north", Keys: []paths.Digest{paths.DigestOf(quotaKey)},
		Quota: paths.Quota{PerSecond: perSecond, Burst: burst, Tokens: true, PlainTokens: quotaPlain},
	}}
	return ta.Build()
}

// quotaAllowed returns the most requests that may arrive in a window.
func quotaAllowed(perSecond, burst float64) int {
	return int(((perSecond*quota.Window.Seconds()+burst)*(1+quotaOver) + quotaSlack) / quotaPlain)
}

// quotaLoad sends requests of one organisation until its context ends.
type quotaLoad struct {
	// perSecond is the number of requests in a second, entry returns the number of the entry node for one.
	perSecond float64
	entry     func(rng *rand.Rand, since time.Duration) int

	mu                        sync.Mutex
	answered, refused, failed int
	slowest                   time.Duration
}

// run sends the requests.
func (ql *quotaLoad) run(ctx context.Context, ds *directSimulation) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	wg.Go(func() {
		rng, start := rand.New(rand.NewPCG(1, 7)), time.Now()
		callers := map[int]*directCaller{}
		for number := 0; ctx.Err() == nil; number++ {
			time.Sleep(time.Duration(rng.ExpFloat64() / ql.perSecond * float64(time.Second)))
			entry, id := ql.entry(rng, time.Since(start)), fmt.Sprintf("quota-%d", number)
			cl := callers[entry]
			if cl == nil {
				cl = ds.newCaller(fmt.Sprintf("entry-%d", entry+1))
				cl.key, callers[entry] = quotaKey, cl
				defer cl.client.CloseIdleConnections()
			}
			wg.Go(func() { ql.record(cl.sendAs(context.WithoutCancel(ctx), id, http.MethodPost, "/safe/x", "", id)) })
		}
	})
	return wg
}

// record counts a response. A refusal must say when to come back.
func (ql *quotaLoad) record(re directReply) {
	ql.mu.Lock()
	defer ql.mu.Unlock()
	seconds, err := strconv.ParseFloat(re.header.Get("Retry-After"), 64)
	switch {
	case re.err == nil && re.status == http.StatusOK:
		ql.answered++
	case re.err == nil && re.status == http.StatusTooManyRequests && err == nil && seconds > 0:
		ql.refused++
		ql.slowest = max(ql.slowest, re.took)
	default:
		ql.failed++
	}
}

// quotaArrivals returns the most requests that arrived in any window from a time on, and all of them.
func quotaArrivals(li *limitedServer, from time.Time) (most, all int) {
	list, first := li.arrivalsFrom(from), 0
	for ix, at := range list {
		for at.Sub(list[first]) >= quota.Window {
			first++
		}
		most = max(most, ix-first+1)
	}
	return most, len(list)
}

// One organisation sends 7.5 times its quota through real entry nodes and agents: evenly, through one of eight nodes, and
// through other nodes each second. Its quota must be kept and used, and refusals must come at once.
func TestDirectQuotaIsKeptAndUsed(t *testing.T) {
	for name, entry := range map[string]func(rng *rand.Rand, since time.Duration) int{
		"all nodes": func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(8) },
		"one node":  func(*rand.Rand, time.Duration) int { return 3 },
		"zones":     func(rng *rand.Rand, since time.Duration) int { return int(since/time.Second)%4*2 + rng.IntN(2) },
	} {
		t.Run(name, func(t *testing.T) {
			runQuotaSimulation(t, entry, func(_ *directSimulation, li *limitedServer) {
				time.Sleep(5 * time.Second)
				from := time.Now()
				time.Sleep(30 * time.Second)
				most, all := quotaArrivals(li, time.Time{})
				_, since := quotaArrivals(li, from)
				use := float64(since) * quotaPlain / (quotaPerSecond * 30)
				t.Logf("at most %d of %d requests in a window, allowed %d; %.3f of the quota used", most, all, quotaAllowed(quotaPerSecond, quotaBurst), use)
				if use < quotaUseMin {
					t.Errorf("%.3f of the quota used, want at least %v", use, quotaUseMin)
				}
			})
		})
	}
}

// runQuotaSimulation runs a test with eight entry nodes and three agents, while one organisation sends 7.5 times its quota.
func runQuotaSimulation(t *testing.T, entry func(rng *rand.Rand, since time.Duration) int, fn func(ds *directSimulation, li *limitedServer)) {
	t.Helper()
	runDirectSimulation(t, 1, 3, func(t *testing.T, ds *directSimulation, first *directCaller) {
		first.client.CloseIdleConnections()
		ds.startEntries(8)
		li := &limitedServer{}
		ds.backends["plain-0"].setScript(li.answer)
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: quotaTable(2, quotaPerSecond, quotaBurst)})
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ql := &quotaLoad{perSecond: 7.5 * quotaPerSecond / quotaPlain, entry: entry}
		wg := ql.run(ctx, ds)
		fn(ds, li)
		cancel()
		wg.Wait()
		most, _ := quotaArrivals(li, time.Time{})
		t.Logf("%d answered, %d refused, %d failed; at most %d in a window; the slowest refusal took %v", ql.answered, ql.refused, ql.failed, most, ql.slowest)
		if allowed := quotaAllowed(quotaPerSecond, quotaBurst); most > allowed {
			t.Errorf("%d requests in a window, want at most %d", most, allowed)
		}
		if ql.failed > 0 || ql.slowest > 500*time.Millisecond {
			t.Errorf("%d requests failed, the slowest refusal took %v", ql.failed, ql.slowest)
		}
	})
}

// The agent that keeps the account freezes, restarts and is cut off. The quota must be kept, and no caller wait for long.
func TestDirectQuotaIsKeptWhileItsKeeperFails(t *testing.T) {
	all := func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(8) }
	for name, fail := range map[string]func(ds *directSimulation, keeper string){
		"freezes":                      func(ds *directSimulation, keeper string) { ds.net.freeze(keeper, 6*time.Second) },
		"restarts":                     func(ds *directSimulation, keeper string) { ds.restartAgent(keeper) },
		"is cut off from one node":     func(ds *directSimulation, keeper string) { ds.net.partition(keeper, "entry-2") },
		"is cut off from four nodes":   func(ds *directSimulation, keeper string) { cutOffEntries(ds, keeper, 4) },
		"is cut off from all nodes":    func(ds *directSimulation, keeper string) { cutOffEntries(ds, keeper, 8) },
		"and all other agents restart": func(ds *directSimulation, _ string) { restartAgents(ds) },
	} {
		t.Run(name, func(t *testing.T) {
			runQuotaSimulation(t, all, func(ds *directSimulation, _ *limitedServer) {
				time.Sleep(9 * time.Second)
				fail(ds, quota.Keeper("north", []string{"engine-0", "engine-1", "engine-2"}))
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// cutOffEntries cuts entry nodes off from an agent.
func cutOffEntries(ds *directSimulation, agent string, count int) {
	for ix := range count {
		ds.net.partition(agent, fmt.Sprintf("entry-%d", ix+1))
	}
}

// restartAgents restarts all agents.
func restartAgents(ds *directSimulation) {
	for ix := range 3 {
		ds.restartAgent(fmt.Sprintf("engine-%d", ix))
	}
}

// A caller's request that no server runs must cost its organisation nothing: here more requests than the quota allows are
// refused by the only server as not run, and then as many as it allows must be admitted.
func TestDirectQuotaIsGivenBackForRequestsThatDoNotRun(t *testing.T) {
	runDirectSimulation(t, 1, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		const burst = 10
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: quotaTable(2, 1, burst*quotaPlain)})
		time.Sleep(3 * time.Second)
		cl.key = quotaKey
		// The account starts with half a second's worth: one unit admits a request, which leaves the account in debt.
		time.Sleep(time.Second)
		ds.backends["plain-0"].setScript(answerNotRun)
		for range 5 {
			re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "body")
			if re.status != http.StatusServiceUnavailable && re.status != http.StatusTooManyRequests {
				t.Fatalf("status %d, want 503 or 429", re.status)
			}
			time.Sleep(2 * time.Second)
		}
		ds.backends["plain-0"].setScript(nil)
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "body"); re.status != http.StatusOK {
			t.Errorf("status %d after requests that did not run, want 200", re.status)
		}
		if re := cl.send(t.Context(), http.MethodPost, "/unsafe/x", "", "body"); re.status != http.StatusTooManyRequests {
			t.Errorf("status %d after a request that ran and used up the quota, want 429", re.status)
		}
	})
}

// Callers of an organisation that come together for the first time, within its quota, must not be refused because its account
// has just begun: entry nodes announce the accounts when they have read the routes.
func TestDirectFirstBurstWithinTheQuotaIsAdmitted(t *testing.T) {
	runDirectSimulation(t, 1, 3, func(t *testing.T, ds *directSimulation, first *directCaller) {
		first.client.CloseIdleConnections()
		ds.startEntries(8)
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: quotaTable(2, quotaPerSecond, quotaBurst)})
		time.Sleep(8 * time.Second)
		wg := sync.WaitGroup{}
		// A part of the quota may be leased to the other node.
		for ix := range quotaBurst * 3 / 4 / quotaPlain {
			cl := ds.newCaller(fmt.Sprintf("entry-%d", 1+ix%2))
			defer cl.client.CloseIdleConnections()
			cl.key = quotaKey
			wg.Go(func() {
				id := fmt.Sprintf("burst-%d", ix)
				if re := cl.sendAs(t.Context(), id, http.MethodPost, "/safe/x", "", id); re.status != http.StatusOK {
					t.Errorf("request %d of a burst within the quota got status %d", ix, re.status)
				}
			})
		}
		wg.Wait()
	})
}
