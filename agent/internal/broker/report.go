package broker

import (
	"expvar"
	"time"

	"github.com/bambooladder/bambooladder/core/sched"
	"github.com/bambooladder/bambooladder/core/wire"
)

// report sends slots and load to every entry node.
func (br *Broker) report() {
	now := time.Now()
	if !br.changed && now.Before(br.reportAt) {
		return
	}
	br.changed = false
	br.reportAt = now.Add(reportPeriod)
	br.sequence++
	br.measure()
	slots, st := br.slotReports(), br.sc.Stats()
	for se, received := range br.sessions {
		se.TrySend(&wire.Frame{Report: &wire.Report{
			Sequence: br.sequence, Leaving: br.sc.Leaving(), Running: br.sc.Running(),
			Waiting: br.sc.Waiting(), Received: received, Slots: slots,
			LoadStallMs: st.LoadStall.Milliseconds(), BatchFilledMs: st.Filled.Milliseconds(),
			BatchOfferedMs: st.Offered.Milliseconds(), Loads: int64(st.Loads),
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
func (br *Broker) measure() {
	st := br.sc.Stats()
	metrics.Set("load_stall_ms", counter(st.LoadStall.Milliseconds()))
	metrics.Set("batch_filled_ms", counter(st.Filled.Milliseconds()))
	metrics.Set("batch_offered_ms", counter(st.Offered.Milliseconds()))
	metrics.Set("loads", counter(int64(st.Loads)))
	metrics.Set("evictions", counter(int64(st.Evictions)))
	metrics.Set("forwarded", counter(int64(st.Forwarded)))
	metrics.Set("running", counter(int64(br.sc.Running())))
	metrics.Set("waiting", counter(int64(br.sc.Waiting())))
}

// counter returns a number in the form that metrics carry.
func counter(value int64) *expvar.Int {
	number := &expvar.Int{}
	number.Set(value)
	return number
}
