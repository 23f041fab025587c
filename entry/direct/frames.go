package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/core/wire"
)

// frameReceiver handles the frames of one agent connection.
type frameReceiver struct {
	as   *agents
	host string
	ac   *agentConn
}

// HandleHeartbeat handles the agent's heartbeat. An agent that had stopped responding is used again.
func (rc *frameReceiver) HandleHeartbeat(*wire.Heartbeat) {
	rc.as.mu.Lock()
	id, silent := rc.as.servers[rc.host], rc.ac.silent
	rc.ac.silent = false
	rc.as.mu.Unlock()
	rc.as.no.recordActivity(id)
	if silent {
		rc.as.no.recordAgentReachable(id)
	}
}

// Heartbeat returns the entry node's heartbeat, which carries no data.
func (rc *frameReceiver) Heartbeat() wire.Heartbeat { return wire.Heartbeat{} }

// HandleFrame handles one frame from the agent.
func (rc *frameReceiver) HandleFrame(fr *wire.Frame) {
	as := rc.as
	as.mu.Lock()
	rc.ac.silent = false
	attempt, lo := attemptAndLoad(fr)
	gw := as.waiting[attempt]
	load, holds := spread.Load{}, []spread.AdapterSlot(nil)
	if lo != nil {
		load = loadOf(lo, time.Now())
		if fr.Holdings != nil {
			holds = holdsOf(fr.Holdings)
		}
		as.maxEntries = max(as.maxEntries, lo.Entries)
		as.keepReport(rc.host, load, holds)
	}
	id := as.servers[rc.host]
	as.mu.Unlock()
	if fr.Peers != nil {
		as.no.feeds.applyPeers(rc.host, fr.Peers)
	}
	if fr.CrashReport != nil {
		as.no.crashes.applyReport(fr.CrashReport)
	}
	if fr.Versions != nil {
		as.no.origins.learnVersions(fr.Versions.Services, time.Now())
	}
	if fr.PartReport != nil {
		as.no.crashes.applyPartReport(fr.PartReport)
	}
	if lo != nil {
		as.no.recordEngineReport(id, load, holds)
		as.no.origins.recordRun(id, time.Now())
	}
	if gw != nil && !gw.tryDeliver(fr) {
		as.no.logger.Warn().Str("attempt", attempt).Msg("frame_dropped")
	}
}

// attemptAndLoad returns the ID of the attempt that a frame belongs to and the engine load
// that it reports.
func attemptAndLoad(fr *wire.Frame) (string, *wire.EngineLoad) {
	switch {
	case fr.Grant != nil:
		return fr.Grant.Attempt, &fr.Grant.Load
	case fr.Queued != nil:
		return fr.Queued.Attempt, &fr.Queued.Load
	case fr.Refusal != nil:
		return fr.Refusal.Attempt, fr.Refusal.Load
	case fr.Holdings != nil:
		return "", &fr.Holdings.Load
	case fr.LeaseAnswer != nil:
		return fr.LeaseAnswer.Attempt, nil
	case fr.QuotaAnswer != nil:
		return fr.QuotaAnswer.Query, nil
	case fr.OriginAnswer != nil:
		return fr.OriginAnswer.Attempt, nil
	}
	return "", nil
}

// loadOf converts an engine's load to the form that server selection needs.
func loadOf(lo *wire.EngineLoad, now time.Time) spread.Load {
	return spread.Load{ReportedAt: now, Load: grant.Load{
		Known: lo.Known, Model: lo.Model, Born: lo.Born, Slots: lo.Slots, Backlog: time.Duration(lo.BacklogMs) * time.Millisecond,
		LoadTime: time.Duration(lo.LoadMs) * time.Millisecond, BurstMax: lo.BurstMax, PrefillRate: lo.PrefillRate, BurstRate: lo.BurstRate, EventTime: time.Duration(lo.EventUs) * time.Microsecond, Running: lo.Running, Waiting: lo.Waiting, MemoryFree: lo.MemoryFree,
		Leaving: lo.Leaving, Draining: lo.Draining,
	}}
}

// holdsOf converts an engine's adapters to the form that server selection needs.
func holdsOf(ho *wire.Holdings) []spread.AdapterSlot {
	list := make([]spread.AdapterSlot, 0, len(ho.Slots))
	for _, sr := range ho.Slots {
		list = append(list, spread.AdapterSlot{
			Adapter: sr.Adapter, Version: sr.Version, Ready: sr.State == "ready", Users: sr.Pins + sr.Waiting,
		})
	}
	return list
}
