package direct

import (
	"expvar"
	"time"
)

// metrics holds the counters of the agent.
var (
	metrics         = expvar.NewMap("direct_agent")
	metricGranted   = metric("granted")
	metricRefused   = metric("refused")
	metricLoads     = metric("loads")
	metricEvictions = metric("evictions")
	metricLoadStall = metric("load_stall_ms")
	metricRunning   = metric("running")
	metricWaiting   = metric("waiting")
	metricBacklog   = metric("backlog_ms")
	metricBurstMax  = metric("burst_max_tokens")
)

// metric adds a number to the counters.
func metric(name string) *expvar.Int {
	number := &expvar.Int{}
	metrics.Set(name, number)
	return number
}

// count sets the counters to the state of the engine.
func (br *Broker) count() {
	lo, st := br.en.Load(time.Now()), br.en.Stats()
	metricLoads.Set(int64(st.Loads))
	metricEvictions.Set(int64(st.Evictions))
	metricLoadStall.Set(st.LoadStall.Milliseconds())
	metricRunning.Set(int64(lo.Running))
	metricWaiting.Set(int64(lo.Waiting))
	metricBacklog.Set(lo.Backlog.Milliseconds())
	metricBurstMax.Set(int64(lo.BurstMax))
	if bounded := lo.BurstMax > 0; bounded != br.bounded {
		br.bounded = bounded
		br.lg.Info().Bool("bounded", bounded).Int("burst_max", lo.BurstMax).
			Int("running", lo.Running).Msg("prompt_bursts")
	}
}
