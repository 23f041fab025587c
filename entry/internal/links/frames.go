package links

import (
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/route"
	"github.com/bambooladder/bambooladder/core/wire"
)

// frameReceiver handles the frames of one connection.
type frameReceiver struct {
	ls   *Links
	name string
	ac   *agentConn
}

// HandleHeartbeat ignores the agent's heartbeat.
func (rc *frameReceiver) HandleHeartbeat(*wire.Heartbeat) {}

// Heartbeat returns the heartbeat that is sent to the agent.
func (rc *frameReceiver) Heartbeat() wire.Heartbeat {
	return wire.Heartbeat{ConfigRevision: rc.ls.revision.Load(), LogTime: rc.ls.logTime.Load()}
}

// HandleFrame handles a frame from the agent: it applies a report and delivers other frames to their
// attempts.
func (rc *frameReceiver) HandleFrame(fr *wire.Frame) {
	if fr.Report != nil {
		rc.applyReport(fr.Report)
		return
	}
	id := attemptID(fr)
	if id == "" {
		return
	}
	rc.ls.mu.Lock()
	at := rc.ls.attempts[id]
	rc.ls.mu.Unlock()
	if at != nil {
		at.deliver(Event{Frame: fr})
	}
}

// applyReport replaces the runner's state in the fleet, from which runners are chosen, with the
// agent's report.
func (rc *frameReceiver) applyReport(re *wire.Report) {
	we := rc.ac.welcome
	ru := route.Runner{
		Name: rc.name, Boot: we.Boot, Zone: we.Zone, Region: we.Region, Model: we.Model,
		Services: we.Services, Slots: we.Slots, Places: we.BatchPlaces, Leaving: re.Leaving,
		ReportedRequests: re.Running + re.Waiting, ConnectedAt: rc.ac.connectedAt,
		AdapterSlots: make([]route.AdapterSlot, 0, len(re.Slots)),
		Usage: route.Usage{
			LoadStall: time.Duration(re.LoadStallMs) * time.Millisecond, BatchFilled: time.Duration(re.BatchFilledMs) * time.Millisecond,
			BatchOffered: time.Duration(re.BatchOfferedMs) * time.Millisecond, Loads: re.Loads,
		},
	}
	for _, sr := range re.Slots {
		state := route.Ready
		if sr.State != "ready" {
			state = route.Loading
		}
		ru.AdapterSlots = append(ru.AdapterSlots, route.AdapterSlot{
			Adapter: conf.AdapterVersion{Adapter: sr.Adapter, Version: sr.Version}, State: state, Pins: sr.Pins + sr.Waiting,
		})
	}
	rc.ls.mu.Lock()
	defer rc.ls.mu.Unlock()
	if rc.ls.conns[rc.name] != rc.ac {
		return
	}
	ru.UnreportedRequests = int(rc.ac.dispatchCount - min(re.Received, rc.ac.dispatchCount))
	ru.Leaving = ru.Leaving || rc.ls.members.Leaving(rc.name)
	rc.ls.fleet.Put(ru)
}

// attemptID returns the ID of the attempt that a frame belongs to, or an empty string.
func attemptID(fr *wire.Frame) string {
	switch {
	case fr.Head != nil:
		return fr.Head.Attempt
	case fr.Chunk != nil:
		return fr.Chunk.Attempt
	case fr.End != nil:
		return fr.End.Attempt
	case fr.Refusal != nil:
		return fr.Refusal.Attempt
	case fr.Verdict != nil:
		return fr.Verdict.Attempt
	}
	return ""
}
