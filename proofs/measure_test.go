package proofs

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/route"
)

const (
	measureDuration = 120 * time.Second
	// popularityExponent is the exponent of a Zipf distribution in which few adapters receive most
	// requests.
	popularityExponent = 1.5
	measureTokens      = 60
)

// workload is the size and the load of the deployment of one organisation.
type workload struct {
	name                string
	runners             int
	adapters            int
	storeLoadsPerSecond float64
	// rate is the mean number of requests per second.
	rate    float64
	weights conf.Weights
}

// measurement holds the results of one run.
type measurement struct {
	requests     int
	answered     int
	refused      int
	loads        int64
	loadStall    time.Duration
	batchFilled  int64
	batchOffered int64
	firstToken   []time.Duration
}

var workloads = []workload{
	{
		name: "Embutidos La Cordillera", runners: 18, adapters: 3_000, storeLoadsPerSecond: 4, rate: 20,
		weights: conf.Weights{LoadStall: 3, BatchEfficiency: 1, Queueing: 1, RegionCrossing: 1},
	},
	{
		name: "Rivière Alpine", runners: 9, adapters: 3_000, storeLoadsPerSecond: 2, rate: 10,
		weights: conf.Weights{LoadStall: 1, BatchEfficiency: 3, Queueing: 1, RegionCrossing: 1},
	},
}

// TestMeasure compares the routing policies and prints a table for each workload, with constant and
// with shifting popularity of the adapters. It runs only if MEASURE is set.
func TestMeasure(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}
	policies := []route.Policy{route.RandomPolicy, route.LeastLoadedPolicy, route.HashedPolicy, route.CheapestPolicy}
	results := map[string]*measurement{}
	mu := sync.Mutex{}
	t.Run("runs", func(t *testing.T) {
		for _, wl := range workloads {
			for _, popularityShifts := range []bool{false, true} {
				for _, policy := range policies {
					t.Run(fmt.Sprint(wl.name, popularityShifts, policy), func(t *testing.T) {
						t.Parallel()
						me := measure(t, wl, policy, popularityShifts)
						mu.Lock()
						defer mu.Unlock()
						results[fmt.Sprint(wl.name, popularityShifts, policy)] = me
					})
				}
			}
		}
	})
	for _, wl := range workloads {
		for _, popularityShifts := range []bool{false, true} {
			tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
			_, _ = fmt.Fprintf(os.Stdout, "%s, popularity shifts: %t\n", wl.name, popularityShifts)
			_, _ = fmt.Fprintln(tw, "policy\tstall s/1000\tbatch\tfirst token p50\tp95\tp99\tanswered\trefused\tloads\t")
			for _, policy := range policies {
				me := results[fmt.Sprint(wl.name, popularityShifts, policy)]
				name := string(policy)
				if policy == route.CheapestPolicy {
					name = "cheapest"
				}
				_, _ = fmt.Fprintf(tw, "%s\t%.1f\t%.3f\t%s\t%s\t%s\t%d\t%d\t%d\t\n", name,
					me.loadStall.Seconds()*1000/float64(me.requests), float64(me.batchFilled)/float64(max(1, me.batchOffered)),
					me.percentile(50), me.percentile(95), me.percentile(99), me.answered, me.refused, me.loads)
			}
			_ = tw.Flush()
		}
	}
}

// percentile returns a percentile of the times to the first token, rounded to milliseconds.
func (me *measurement) percentile(percent int) time.Duration {
	if len(me.firstToken) == 0 {
		return 0
	}
	return percentile(me.firstToken, percent).Round(time.Millisecond)
}

// measure runs one workload with one routing policy.
func measure(t *testing.T, wl workload, policy route.Policy, popularityShifts bool) *measurement {
	t.Helper()
	me := &measurement{}
	synctest.Test(t, func(t *testing.T) {
		adapters := make([]string, wl.adapters)
		for ix := range adapters {
			adapters[ix] = fmt.Sprint("adapter-", ix)
		}
		sm := newSimulation(t, simulationOptions{
			seed: 1, engines: wl.runners, entries: 3, adapterSlots: 4, batchSize: 8, adapters: adapters,
			policy: policy, storeLoadsPerSecond: wl.storeLoadsPerSecond, weights: wl.weights,
		})
		defer sm.close()
		me.sendWorkload(sm, wl, popularityShifts)
		me.readCounters(sm)
	})
	return me
}

// sendWorkload sends requests with exponential intervals and adapters drawn by popularity. If
// popularityShifts is set, the order of popularity changes halfway.
func (me *measurement) sendWorkload(sm *simulation, wl workload, popularityShifts bool) {
	rd := rand.New(rand.NewPCG(7, 7))
	cumulativeWeights, totalWeight := make([]float64, wl.adapters), 0.0
	for rank := range cumulativeWeights {
		totalWeight += math.Pow(float64(rank+1), -popularityExponent)
		cumulativeWeights[rank] = totalWeight
	}
	adapterByRank := rd.Perm(wl.adapters)
	wg, mu := sync.WaitGroup{}, sync.Mutex{}
	start := time.Now()
	for shifted := false; time.Since(start) < measureDuration; {
		time.Sleep(time.Duration(rd.ExpFloat64() / wl.rate * float64(time.Second)))
		if popularityShifts && !shifted && time.Since(start) > measureDuration/2 {
			shifted = true
			adapterByRank = rd.Perm(wl.adapters)
		}
		pick, rank := rd.Float64()*totalWeight, 0
		for rank < wl.adapters-1 && cumulativeWeights[rank] < pick {
			rank++
		}
		model, entry, prompt := fmt.Sprintf("adapter-%d@1", adapterByRank[rank]), entryName(rd.IntN(3)), fmt.Sprint("request ", rd.Uint64())
		wg.Go(func() {
			first, ok := sm.firstToken(entry, model, prompt)
			mu.Lock()
			defer mu.Unlock()
			me.requests++
			if !ok {
				me.refused++
				return
			}
			me.answered++
			me.firstToken = append(me.firstToken, first)
		})
	}
	wg.Wait()
}

// firstToken streams an answer and returns the time to its first token, or false if the answer is
// incomplete.
func (sm *simulation) firstToken(entry, model, prompt string) (time.Duration, bool) {
	start := time.Now()
	tr := &http.Transport{DialContext: sm.net.forHost("caller").DialContext, DisableKeepAlives: true}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, measureTokens, prompt)
	rq, _ := http.NewRequestWithContext(sm.ctx, http.MethodPost, "http://"+entry+":1/v1/chat/completions", strings.NewReader(body))
	rq.Header.Set("Authorization", "Bearer "+callerToken)
	resp, err := tr.RoundTrip(rq)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	first, complete := time.Duration(0), false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if first == 0 {
			first = time.Since(start)
		}
		complete = complete || lines.Text() == "data: [DONE]"
	}
	return first, complete && resp.StatusCode == http.StatusOK
}

// readCounters adds up the counters of all engine runners.
func (me *measurement) readCounters(sm *simulation) {
	time.Sleep(2 * time.Second)
	no, _ := sm.nodeStatus(entryName(0))
	for _, ru := range no.Runners {
		if ru.Name == "ledger" {
			continue
		}
		me.loads += ru.Loads
		me.loadStall += time.Duration(ru.LoadStallMs) * time.Millisecond
		me.batchFilled += ru.BatchFilledMs
		me.batchOffered += ru.BatchOfferedMs
	}
}
