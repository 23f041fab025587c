package grant

import "time"

// Stats holds counters since the agent's start.
type Stats struct {
	// Loads counts adapter loads; Evictions counts all unloads, including those of old versions.
	Loads     int
	Evictions int
	// LoadStall is the total time from arrival to grant of the granted requests that named an
	// adapter; unlike in core/sched it includes waits for other reasons.
	LoadStall time.Duration
}

// Stats returns the counters so far.
func (en *Engine) Stats() Stats {
	return Stats{Loads: en.loads, Evictions: en.evictions, LoadStall: en.loadStall}
}

// Speed is what the agent has measured of its engine.
type Speed struct {
	// Slow is true while the engine counts as slow.
	Slow bool
	// PrefillRate is the mean rate of the latest samples in tokens a second; EventTime is the time between two events of
	// a stream. Both are zero if not known.
	PrefillRate int
	EventTime   time.Duration
	// RateSamples and EventSamples are the numbers of samples so far.
	RateSamples  int
	EventSamples int
}

// Speed returns what was measured of the engine.
func (en *Engine) Speed() Speed { return en.pacer.speed.measured() }
