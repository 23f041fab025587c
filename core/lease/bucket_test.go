package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Whatever is asked for and when, no more is handed out in any window than the limit and what the bucket
// holds at most.
func TestNoMoreIsHandedOutThanTheLimit(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("at most the limit", prop.ForAll(func(perSecond float64, gaps, wanted []int) string {
		bu, now := Bucket{}, start
		times, counts := []time.Time(nil), []int(nil)
		for ix, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			next, le := bu.WithAsk(perSecond, wanted[ix], now)
			if le.Count > wanted[ix] || le.Count == 0 && le.Wait <= 0 {
				return fmt.Sprintf("lease %+v for %d", le, wanted[ix])
			}
			bu = next
			times, counts = append(times, now), append(counts, le.Count)
		}
		rate := max(RateMin, perSecond)
		for first := range times {
			sum := 0
			for last := first; last < len(times); last++ {
				sum += counts[last]
				most := rate*times[last].Sub(times[first]).Seconds() + max(burstMin, rate*burstTime.Seconds()) + 0.001
				if float64(sum) > most {
					return fmt.Sprintf("%d in %v at %v a second, at most %.1f", sum, times[last].Sub(times[first]), perSecond, most)
				}
			}
		}
		return ""
	}, gen.Float64Range(0, 300), gen.SliceOfN(200, gen.IntRange(0, 300)), gen.SliceOfN(200, gen.IntRange(1, 40))))
	properties.TestingRun(t)
}

// node is an entry node that asks as told.
type node struct {
	rate  float64
	askAt time.Time
	next  time.Time
}

// With demand above the limit, at least nine tenths of it must be handed out, however uneven the demand
// of the nodes is, and nodes must not ask for every request.
func TestLimitIsUsedUpWhereDemandIsAboveIt(t *testing.T) {
	for _, count := range []int{2, 13, 68} {
		for _, perSecond := range []float64{1.6, 8, 40} {
			rng := rand.New(rand.NewPCG(1, uint64(count)))
			nodes := make([]node, count)
			for ix := range nodes {
				nodes[ix].rate = 2 * perSecond / float64(count) / 5
			}
			nodes[0].rate = 2 * perSecond * 4 / 5
			bu, handedOut, asks, requests := Bucket{}, 0, 0, 0
			const period = 60 * time.Second
			for now := start; now.Before(start.Add(period)); now = now.Add(time.Millisecond) {
				for ix := range nodes {
					no := &nodes[ix]
					if no.next.After(now) {
						continue
					}
					no.next = now.Add(time.Duration(rng.ExpFloat64() / no.rate * float64(time.Second)))
					requests++
					if now.Before(no.askAt) {
						continue
					}
					next, le := bu.WithAsk(perSecond, 1, now)
					bu = next
					asks++
					handedOut += le.Count
					no.askAt = now.Add(le.Wait)
				}
			}
			used := float64(handedOut) / (perSecond * period.Seconds())
			t.Logf("%d nodes, limit %v: %.2f used, %d asks for %d requests", count, perSecond, used, asks, requests)
			if used < 0.9 || used > 1.05 {
				t.Errorf("%d nodes, limit %v: %.2f of the limit is used, want 0.9 to 1.05", count, perSecond, used)
			}
		}
	}
}
