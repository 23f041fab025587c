package direct

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Names of the latency histograms.
const (
	histogramFirstByte   = "first_byte_ms"
	histogramWholeAnswer = "whole_answer_ms"
	histogramGrant       = "grant_ms"
)

const (
	// maxHistogramMillis is the longest latency that the histograms distinguish.
	maxHistogramMillis = 60_000
	histogramPrecision = 2
)

var (
	metrics        = expvar.NewMap("direct_entry")
	metricFailures = newCounterMap("failures")
	// metricKeysRefused counts the requests refused because of their key, by reason.
	metricKeysRefused = newCounterMap("keys_refused")
	// metricLogReads counts this node's own reads of the log, metricForwardedReads those that another
	// node forwarded to it.
	metricLogReads       = newCounter("log_reads")
	metricForwardedReads = newCounter("forwarded_log_reads")
	// metricEpochChanges counts the times that the log came back from an older copy.
	metricEpochChanges = newCounter("log_epoch_changes")
	// metricCrashes counts the crashes that this node has seen, metricQuarantined the requests refused
	// because of crashes.
	metricCrashes     = newCounter("server_crashes")
	metricQuarantined = newCounter("quarantined_requests")
	// metricPartsBlocked counts the parts of prompts that this node has found to crash servers.
	metricPartsBlocked = newCounter("blocked_parts")
	// metricHeldBytes is what the node holds of answers, metricPassedOn counts the answers that were passed
	// on as they arrived because they were too long for that.
	metricHeldBytes = newCounter("held_answer_bytes")
	metricPassedOn  = newCounter("answers_not_held")
	// metricInvalidAnswers counts invalid responses.
	metricInvalidAnswers = newCounter("invalid_answers")
	// metricPauses counts the pauses that servers have asked for, metricHeldBack the requests refused
	// because of pauses and limits of servers.
	metricPauses   = newCounter("server_pauses")
	metricHeldBack = newCounter("held_back_requests")
	// metricTakenUp counts the requests that take up a stream, metricNotResumable those that were refused
	// because it can go on nowhere.
	metricTakenUp      = newCounter("streams_taken_up")
	metricNotResumable = newCounter("streams_not_resumable")
	// metricRunsAsked counts the times that a server was asked which of its runs it is in.
	metricRunsAsked = newCounter("server_runs_asked")
	// metricTooLate counts the requests that a stopping node rejected because they could not end in time, metricCut the
	// attempts that it ended.
	metricTooLate = newCounter("requests_too_late_in_stop")
	metricCut     = newCounter("attempts_cut_by_stop")
	// metricUnconfirmedEnds counts the streams that ended with the connection of their server, which no other server
	// confirmed.
	metricUnconfirmedEnds = newCounter("unconfirmed_stream_ends")

	histograms = map[string]*latencyHistogram{
		histogramFirstByte: newLatencyHistogram(histogramFirstByte), histogramWholeAnswer: newLatencyHistogram(histogramWholeAnswer), histogramGrant: newLatencyHistogram(histogramGrant),
	}
)

// newCounter registers a counter.
func newCounter(name string) *expvar.Int {
	co := &expvar.Int{}
	metrics.Set(name, co)
	return co
}

// newCounterMap registers a group of counters.
func newCounterMap(name string) *expvar.Map {
	mp := (&expvar.Map{}).Init()
	metrics.Set(name, mp)
	return mp
}

// latencyHistogram is a histogram of latencies in milliseconds.
type latencyHistogram struct {
	mu sync.Mutex
	hi *hdrhistogram.Histogram
}

// newLatencyHistogram registers a histogram.
func newLatencyHistogram(name string) *latencyHistogram {
	lh := &latencyHistogram{}
	metrics.Set(name, lh)
	return lh
}

// histogram returns the histogram with the given name.
func histogram(name string) *latencyHistogram { return histograms[name] }

// record adds a latency to the histogram.
func (lh *latencyHistogram) record(took time.Duration) {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	if lh.hi == nil {
		lh.hi = hdrhistogram.New(1, maxHistogramMillis, histogramPrecision)
	}
	// Latencies beyond the range count as its limits.
	_ = lh.hi.RecordValue(min(maxHistogramMillis, max(1, took.Milliseconds())))
}

// String returns the histogram as JSON.
func (lh *latencyHistogram) String() string {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	if lh.hi == nil {
		return `{"count":0}`
	}
	text := `{"count":` + strconv.FormatInt(lh.hi.TotalCount(), 10)
	for _, percent := range []int{50, 90, 95, 99} {
		text += `,"p` + strconv.Itoa(percent) + `":` + strconv.FormatInt(lh.hi.ValueAtPercentile(float64(percent)), 10)
	}
	return text + `,"max":` + strconv.FormatInt(lh.hi.Max(), 10) + "}"
}
