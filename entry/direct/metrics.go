package direct

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Names of the histograms.
const (
	histogramFirst = "first_byte_ms"
	histogramWhole = "whole_answer_ms"
	histogramGrant = "grant_ms"
)

const (
	// histogramMax is the longest time that is told apart, in milliseconds.
	histogramMax    = 60_000
	histogramDigits = 2
)

var (
	metrics        = expvar.NewMap("direct_entry")
	metricFailures = subMap("failures")
	histograms     = map[string]*latency{
		histogramFirst: newLatency(histogramFirst), histogramWhole: newLatency(histogramWhole), histogramGrant: newLatency(histogramGrant),
	}
)

// subMap adds a map to the counters.
func subMap(name string) *expvar.Map {
	mp := (&expvar.Map{}).Init()
	metrics.Set(name, mp)
	return mp
}

// latency is a histogram of times.
type latency struct {
	mu sync.Mutex
	hi *hdrhistogram.Histogram
}

// newLatency adds a histogram to the counters.
func newLatency(name string) *latency {
	la := &latency{}
	metrics.Set(name, la)
	return la
}

// histogram returns a histogram by name.
func histogram(name string) *latency { return histograms[name] }

// record adds a time.
func (la *latency) record(took time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	if la.hi == nil {
		la.hi = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	// A time beyond the histogram's range counts as its end.
	_ = la.hi.RecordValue(min(histogramMax, max(1, took.Milliseconds())))
}

// String renders the histogram as JSON.
func (la *latency) String() string {
	la.mu.Lock()
	defer la.mu.Unlock()
	if la.hi == nil {
		return `{"count":0}`
	}
	text := `{"count":` + strconv.FormatInt(la.hi.TotalCount(), 10)
	for _, percent := range []int{50, 90, 95, 99} {
		text += `,"p` + strconv.Itoa(percent) + `":` + strconv.FormatInt(la.hi.ValueAtPercentile(float64(percent)), 10)
	}
	return text + `,"max":` + strconv.FormatInt(la.hi.Max(), 10) + "}"
}
