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
	measureLength = 120 * time.Second
	// popularityExponent makes a few adapters carry most of the traffic.
	popularityExponent = 1.5
	measureTokens      = 60
)

// workload is the size and the load of one user.
type workload struct {
	name       string
	runners    int
	adapters   int
	storeLoads float64
	// rate is the number of requests a second.
	rate    float64
	weights conf.Weights
}

// measurement is what one run showed.
type measurement struct {
	requests   int
	answered   int
	refused    int
	loads      int64
	stall      time.Duration
	filled     int64
	offered    int64
	firstToken []time.Duration
}

var workloads = []workload{
	{
		name: "Embutidos La Cordillera", runners: 18, adapters: 3_000, storeLoads: 4, rate: 20,
		weights: conf.Weights{LoadStall: 3, BatchEfficiency: 1, Queueing: 1, RegionCrossing: 1},
	},
	{
		name: "Rivière Alpine", runners: 9, adapters: 3_000, storeLoads: 2, rate: 10,
		weights: conf.Weights{LoadStall: 1, BatchEfficiency: 3, Queueing: 1, RegionCrossing: 1},
	},
}

// TestMeasure prints a table for each workload and scenario; it runs with MEASURE set only.
func TestMeasure(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE to measure")
	}
	policies := []route.Policy{route.RandomPolicy, route.LeastLoadedPolicy, route.HashedPolicy, route.CheapestPolicy}
	results := map[string]*measurement{}
	mu := sync.Mutex{}
	t.Run("runs", func(t *testing.T) {
		for _, wl := range workloads {
			for _, shift := range []bool{false, true} {
				for _, policy := range policies {
					t.Run(fmt.Sprint(wl.name, shift, policy), func(t *testing.T) {
						t.Parallel()
						me := measure(t, wl, policy, shift)
						mu.Lock()
						defer mu.Unlock()
						results[fmt.Sprint(wl.name, shift, policy)] = me
					})
				}
			}
		}
	})
	for _, wl := range workloads {
		for _, shift := range []bool{false, true} {
			tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
			_, _ = fmt.Fprintf(os.Stdout, "%s, popularity shifts: %t\n", wl.name, shift)
			_, _ = fmt.Fprintln(tw, "policy\tstall s/1000\tbatch\tfirst token p50\tp95\tp99\tanswered\trefused\tloads\t")
			for _, policy := range policies {
				me := results[fmt.Sprint(wl.name, shift, policy)]
				name := string(policy)
				if policy == route.CheapestPolicy {
					name = "cheapest"
				}
				_, _ = fmt.Fprintf(tw, "%s\t%.1f\t%.3f\t%s\t%s\t%s\t%d\t%d\t%d\t\n", name,
					me.stall.Seconds()*1000/float64(me.requests), float64(me.filled)/float64(max(1, me.offered)),
					me.percentile(50), me.percentile(95), me.percentile(99), me.answered, me.refused, me.loads)
			}
			_ = tw.Flush()
		}
	}
}

// percentile returns a percentile of the times to the first token.
func (me *measurement) percentile(percent int) time.Duration {
	if len(me.firstToken) == 0 {
		return 0
	}
	return percentile(me.firstToken, percent).Round(time.Millisecond)
}

// measure runs one workload under one policy.
func measure(t *testing.T, wl workload, policy route.Policy, shift bool) *measurement {
	t.Helper()
	me := &measurement{}
	synctest.Test(t, func(t *testing.T) {
		adapters := make([]string, wl.adapters)
		for ix := range adapters {
			adapters[ix] = fmt.Sprint("adapter-", ix)
		}
		wo := newWorld(t, worldOptions{
			seed: 1, engines: wl.runners, entries: 3, slots: 4, places: 8, adapters: adapters,
			policy: policy, storeLoads: wl.storeLoads, weights: wl.weights,
		})
		defer wo.close()
		me.drive(wo, wl, shift)
		me.collect(wo)
	})
	return me
}

// drive sends requests at random times with the popularity of the workload.
func (me *measurement) drive(wo *world, wl workload, shift bool) {
	rd := rand.New(rand.NewPCG(7, 7))
	weights, sum := make([]float64, wl.adapters), 0.0
	for rank := range weights {
		sum += math.Pow(float64(rank+1), -popularityExponent)
		weights[rank] = sum
	}
	order := rd.Perm(wl.adapters)
	wg, mu := sync.WaitGroup{}, sync.Mutex{}
	start := time.Now()
	for shifted := false; time.Since(start) < measureLength; {
		time.Sleep(time.Duration(rd.ExpFloat64() / wl.rate * float64(time.Second)))
		if shift && !shifted && time.Since(start) > measureLength/2 {
			shifted = true
			order = rd.Perm(wl.adapters)
		}
		pick, rank := rd.Float64()*sum, 0
		for rank < wl.adapters-1 && weights[rank] < pick {
			rank++
		}
		model, entry, prompt := fmt.Sprintf("adapter-%d@1", order[rank]), entryName(rd.IntN(3)), fmt.Sprint("request ", rd.Uint64())
		wg.Go(func() {
			first, ok := wo.firstToken(entry, model, prompt)
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

// firstToken streams an answer and returns the time to its first token, or false where it is not whole.
func (wo *world) firstToken(entry, model, prompt string) (time.Duration, bool) {
	start := time.Now()
	tr := &http.Transport{DialContext: wo.net.on("caller").DialContext, DisableKeepAlives: true}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, measureTokens, prompt)
	rq, _ := http.NewRequestWithContext(wo.ctx, http.MethodPost, "http://"+entry+":1/v1/chat/completions", strings.NewReader(body))
	rq.Header.Set("Authorization", "Bearer "+callerToken)
	resp, err := tr.RoundTrip(rq)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	first, whole := time.Duration(0), false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if first == 0 {
			first = time.Since(start)
		}
		whole = whole || lines.Text() == "data: [DONE]"
	}
	return first, whole && resp.StatusCode == http.StatusOK
}

// collect adds up what the runners counted.
func (me *measurement) collect(wo *world) {
	time.Sleep(2 * time.Second)
	no, _ := wo.node(entryName(0))
	for _, ru := range no.Runners {
		if ru.Name == "ledger" {
			continue
		}
		me.loads += ru.Loads
		me.stall += time.Duration(ru.LoadStallMs) * time.Millisecond
		me.filled += ru.BatchFilledMs
		me.offered += ru.BatchOfferedMs
	}
}
