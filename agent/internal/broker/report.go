package broker

import (
	"expvar"
	"time"

	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

// metrics holds the values that the agent publishes.
var (
	metrics            = expvar.NewMap("agent")
	metricLoadStall    = newMetric("load_stall_ms")
	metricBatchFilled  = newMetric("batch_filled_ms")
	metricBatchOffered = newMetric("batch_offered_ms")
	metricLoads        = newMetric("loads")
	metricEvictions    = newMetric("evictions")
	metricForwarded    = newMetric("forwarded")
	metricRunning      = newMetric("running")
	metricWaiting      = newMetric("waiting")
	// metricHeldBytes is the memory of answers that have not been passed on.
	metricHeldBytes = newMetric("held_answer_bytes")
	// metricInvalidAnswers and metricOverBudget count invalid responses and answers that needed too much memory.
	metricInvalidAnswers = newMetric("invalid_answers")
	metricOverBudget     = newMetric("answers_over_budget")
)

// newMetric publishes a value under a name and returns it.
func newMetric(name string) *expvar.Int {
	value := &expvar.Int{}
	metrics.Set(name, value)
	return value
}

// sendReports sends the slots and the load to every entry node if they may have changed or
// reportPeriod is over.
func (br *Broker) sendReports() {
	now := time.Now()
	if !br.stateChanged && now.Before(br.nextReportAt) {
		return
	}
	br.stateChanged = false
	br.nextReportAt = now.Add(reportPeriod)
	br.reportSequence++
	slots, st := br.slotReports(), br.sc.Stats()
	br.publishMetrics(st)
	for se, received := range br.sessions {
		se.TrySend(&wire.Frame{Report: &wire.Report{
			Sequence: br.reportSequence, Leaving: br.sc.Leaving(), Running: br.sc.Running(),
			Waiting: br.sc.Waiting(), Received: received, Slots: slots,
			LoadStallMs: st.LoadStall.Milliseconds(), BatchFilledMs: st.BatchFilled.Milliseconds(),
			BatchOfferedMs: st.BatchOffered.Milliseconds(), Loads: int64(st.Loads),
		}})
	}
}

// slotReports describes the slots in which an adapter is loaded or loading.
func (br *Broker) slotReports() []wire.SlotReport {
	reports := make([]wire.SlotReport, 0, br.as.Slots)
	for _, sl := range br.sc.Slots() {
		if sl.State != sched.Ready && sl.State != sched.Loading {
			continue
		}
		reports = append(reports, wire.SlotReport{
			Adapter: sl.Adapter.Adapter, Version: sl.Adapter.Version, State: sl.State.String(),
			Pins: sl.Pins, Waiting: br.sc.WaitingFor(sl.Adapter),
		})
	}
	return reports
}

// publishMetrics sets the metrics of the engine's slots and batch.
func (br *Broker) publishMetrics(st sched.Stats) {
	metricLoadStall.Set(st.LoadStall.Milliseconds())
	metricBatchFilled.Set(st.BatchFilled.Milliseconds())
	metricBatchOffered.Set(st.BatchOffered.Milliseconds())
	metricLoads.Set(int64(st.Loads))
	metricEvictions.Set(int64(st.Evictions))
	metricForwarded.Set(int64(st.Forwarded))
	metricRunning.Set(int64(br.sc.Running()))
	metricWaiting.Set(int64(br.sc.Waiting()))
}
