package direct

import (
	"expvar"
	"time"
)

// metrics holds the values that the agent publishes on its metrics address.
var (
	metrics         = expvar.NewMap("direct_agent")
	metricGranted   = newMetric("granted")
	metricRefused   = newMetric("refused")
	metricLoads     = newMetric("loads")
	metricEvictions = newMetric("evictions")
	metricLoadStall = newMetric("load_stall_ms")
	metricRunning   = newMetric("running")
	metricWaiting   = newMetric("waiting")
	metricBacklog   = newMetric("backlog_ms")
	metricBurstMax  = newMetric("burst_max_tokens")
	// metricAccounts is the number of organisations whose quota the agent keeps.
	metricAccounts = newMetric("kept_quotas")
	// metricPrefillRate and metricEventTime are what the agent has measured of the engine, zero if not known;
	// metricSlow is one while the engine counts as slow.
	metricPrefillRate = newMetric("prefill_rate")
	metricEventTime   = newMetric("event_us")
	metricSlow        = newMetric("engine_slow")
	// metricOrigins is the number of streams of which the agent keeps what began them.
	metricOrigins = newMetric("kept_origins")
)

// publishSpeed sets the metrics of the engine's speed, and logs when the engine begins or ceases to count as slow.
func (br *Broker) publishSpeed() {
	sp := br.en.Speed()
	metricPrefillRate.Set(int64(sp.PrefillRate))
	metricEventTime.Set(sp.EventTime.Microseconds())
	if sp.Slow == br.engineSlow {
		return
	}
	br.engineSlow = sp.Slow
	metricSlow.Set(0)
	if sp.Slow {
		metricSlow.Set(1)
	}
	br.markHoldingsStale()
	br.lg.Info().Bool("slow", sp.Slow).Int("prefill_rate", sp.PrefillRate).Dur("event_time", sp.EventTime).
		Int("rate_samples", sp.RateSamples).Int("event_samples", sp.EventSamples).Msg("engine_speed_changed")
}

// newMetric publishes a value under a name and returns it.
func newMetric(name string) *expvar.Int {
	value := &expvar.Int{}
	metrics.Set(name, value)
	return value
}

// publishMetrics sets the metrics to the state of the engine, and logs when the limit on prompt
// bursts is set or lifted.
func (br *Broker) publishMetrics() {
	now := time.Now()
	lo, st := br.en.Load(now), br.en.Stats()
	br.publishUses(now)
	metricLoads.Set(int64(st.Loads))
	metricEvictions.Set(int64(st.Evictions))
	metricLoadStall.Set(st.LoadStall.Milliseconds())
	metricRunning.Set(int64(lo.Running))
	metricWaiting.Set(int64(lo.Waiting))
	metricBacklog.Set(lo.Backlog.Milliseconds())
	metricBurstMax.Set(int64(lo.BurstMax))
	br.publishSpeed()
	// The bursts of a slow engine are limited whenever streams run there.
	if burstLimited := lo.BurstMax > 0; burstLimited != br.burstLimited && !br.engineSlow {
		br.burstLimited = burstLimited
		br.lg.Info().Bool("bounded", burstLimited).Int("burst_max", lo.BurstMax).
			Int("running", lo.Running).Msg("prompt_burst_limit_changed")
	}
}
