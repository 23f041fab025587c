package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/core/wire"
)

// receiver takes the frames of one connection.
type receiver struct {
	as   *agents
	host string
	al   *agentLink
}

// Beat takes the agent's heartbeat; one that was silent is asked again.
func (rc *receiver) Beat(*wire.Heartbeat) {
	rc.as.mu.Lock()
	id, silent := rc.as.servers[rc.host], rc.al.silent
	rc.al.silent = false
	rc.as.mu.Unlock()
	rc.as.no.heard(id)
	if silent {
		rc.as.no.retold(id)
	}
}

// Heartbeat returns the entry node's heartbeat.
func (rc *receiver) Heartbeat() wire.Heartbeat { return wire.Heartbeat{} }

// Frame takes one frame of the agent.
func (rc *receiver) Frame(fr *wire.Frame) {
	as := rc.as
	as.mu.Lock()
	id := as.servers[rc.host]
	rc.al.silent = false
	attempt, lo := attemptOf(fr)
	wa := as.waiting[attempt]
	if lo != nil {
		as.mostEntries = max(as.mostEntries, lo.Entries)
	}
	as.mu.Unlock()
	if lo != nil {
		holds := []spread.Hold(nil)
		if fr.Holdings != nil {
			holds = holdsOf(fr.Holdings)
		}
		as.no.told(id, loadOf(lo, time.Now()), holds)
	}
	if wa != nil && !wa.deliver(fr) {
		as.no.lg.Warn().Str("attempt", attempt).Msg("frame_without_room")
	}
}

// attemptOf returns the attempt that a frame belongs to and the engine's work in it.
func attemptOf(fr *wire.Frame) (string, *wire.EngineLoad) {
	switch {
	case fr.Grant != nil:
		return fr.Grant.Attempt, &fr.Grant.Load
	case fr.Queued != nil:
		return fr.Queued.Attempt, &fr.Queued.Load
	case fr.Refusal != nil:
		return fr.Refusal.Attempt, nil
	case fr.Holdings != nil:
		return "", &fr.Holdings.Load
	}
	return "", nil
}

// loadOf returns an engine's work as the choice sees it.
func loadOf(lo *wire.EngineLoad, now time.Time) spread.Load {
	return spread.Load{At: now, Load: grant.Load{
		Known: lo.Known, Model: lo.Model, Born: lo.Born, Slots: lo.Slots, Backlog: time.Duration(lo.BacklogMs) * time.Millisecond,
		LoadTime: time.Duration(lo.LoadMs) * time.Millisecond, BurstMax: lo.BurstMax, Running: lo.Running, Waiting: lo.Waiting, MemoryFree: lo.MemoryFree,
		Leaving: lo.Leaving, Draining: lo.Draining,
	}}
}

// holdsOf returns the adapters of an engine as the choice sees them.
func holdsOf(ho *wire.Holdings) []spread.Hold {
	list := make([]spread.Hold, 0, len(ho.Slots))
	for _, sr := range ho.Slots {
		list = append(list, spread.Hold{
			Adapter: sr.Adapter, Version: sr.Version, Ready: sr.State == "ready", Users: sr.Pins + sr.Waiting,
		})
	}
	return list
}
