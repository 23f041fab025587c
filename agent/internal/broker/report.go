package broker

import (
	"expvar"
	"time"

	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

// metrics holds the counters of the agent.
var (
	metrics            = expvar.NewMap("agent")
	metricLoadStall    = metric("load_stall_ms")
	metricBatchFilled  = metric("batch_filled_ms")
	metricBatchOffered = metric("batch_offered_ms")
	metricLoads        = metric("loads")
	metricEvictions    = metric("evictions")
	metricForwarded    = metric("forwarded")
	metricRunning      = metric("running")
	metricWaiting      = metric("waiting")
)

// metric adds a number to the counters.
func metric(name string) *expvar.Int {
	number := &expvar.Int{}
	metrics.Set(name, number)
	return number
}

// report sends slots and load to every entry node.
func (br *Broker) report() {
	now := time.Now()
	if !br.changed && now.Before(br.reportAt) {
		return
	}
	br.changed = false
	br.reportAt = now.Add(reportPeriod)
	br.sequence++
	slots, st := br.slotReports(), br.sc.Stats()
	br.measure(st)
	for se, received := range br.sessions {
		se.TrySend(&wire.Frame{Report: &wire.Report{
			Sequence: br.sequence, Leaving: br.sc.Leaving(), Running: br.sc.Running(),
			Waiting: br.sc.Waiting(), Received: received, Slots: slots,
			LoadStallMs: st.LoadStall.Milliseconds(), BatchFilledMs: st.BatchFilled.Milliseconds(),
			BatchOfferedMs: st.BatchOffered.Milliseconds(), Loads: int64(st.Loads),
		}})
	}
}

// slotReports describes the slots that hold or load an adapter.
func (br *Broker) slotReports() []wire.SlotReport {
	list := make([]wire.SlotReport, 0, br.as.Slots)
	for _, sl := range br.sc.Slots() {
		if sl.State != sched.Ready && sl.State != sched.Loading {
			continue
		}
		list = append(list, wire.SlotReport{
			Adapter: sl.Adapter.Adapter, Version: sl.Adapter.Version, State: sl.State.String(),
			Pins: sl.Pins, Waiting: br.sc.WaitingFor(sl.Adapter),
		})
	}
	return list
}

// measure publishes the counters of the engine's slots and batch.
func (br *Broker) measure(st sched.Stats) {
	metricLoadStall.Set(st.LoadStall.Milliseconds())
	metricBatchFilled.Set(st.BatchFilled.Milliseconds())
	metricBatchOffered.Set(st.BatchOffered.Milliseconds())
	metricLoads.Set(int64(st.Loads))
	metricEvictions.Set(int64(st.Evictions))
	metricForwarded.Set(int64(st.Forwarded))
	metricRunning.Set(int64(br.sc.Running()))
	metricWaiting.Set(int64(br.sc.Waiting()))
}
