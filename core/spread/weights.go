package spread

const (
	// runningSeconds is what each running request adds to the wait for a first event.
	runningSeconds = 0.004
	// adapterLoadSeconds is the time of an adapter load with the weight store at full speed. It is
	// the least time assumed for a fetch, and the fixed estimate for loads in flight and for loads
	// of a newer version of a resident adapter.
	adapterLoadSeconds = 0.25
	// cachedLoadSeconds is the time of a load from the cache of the engine's host.
	cachedLoadSeconds = 0.03
	// evictionSeconds is the penalty for an eviction: another request may need the evicted adapter.
	evictionSeconds = 0.05
	// slotWaitSeconds is the expected wait for a slot where every loaded adapter is in use.
	slotWaitSeconds = 0.8
	// extraFetchSeconds is the penalty for one more engine fetching an adapter from the weight store.
	extraFetchSeconds = 1.0
	// crossRegionSeconds is the penalty for crossing regions, for latency and traffic.
	crossRegionSeconds = 0.12
	// crossZoneSeconds is the penalty for crossing zones within a region.
	crossZoneSeconds = 0.06
	// memoryWaitSeconds is the expected wait where the engine's memory has no room for the prompt.
	memoryWaitSeconds = 0.8
	// excessRequestSeconds is the wait for each request beyond the concurrency of a plain service.
	excessRequestSeconds = 0.06
	// inFlightSeconds is added for each request in flight, to balance plain services that have room.
	inFlightSeconds = 0.02
	// failureSeconds is the penalty for a server whose requests all fail.
	failureSeconds = 0.6
	// streamPauseSeconds is the penalty for each stream that a request would make pause for longer than
	// its caller tolerates. streamPausesMaxSeconds limits the sum for one engine, so that it stays below
	// extraFetchSeconds.
	streamPauseSeconds     = 0.1
	streamPausesMaxSeconds = 0.5
	// sameServerRetrySeconds is the penalty for a server that has failed the same request.
	sameServerRetrySeconds = 1.0
	// queuedRequestSeconds is what each request in the agent's queue adds to the wait for a load.
	queuedRequestSeconds = 0.1
	// unavailableAgentSeconds is the penalty for an engine whose agent is unavailable: silent,
	// unreachable or shutting down.
	unavailableAgentSeconds = 0.15

	// waitWeight is the weight of the whole wait; lateWeight is added to it for the part after which the
	// first byte is not on time.
	waitWeight = 0.4
	lateWeight = 1.2
)
