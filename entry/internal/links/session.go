package links

import (
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/route"
	"github.com/bambooladder/bambooladder/core/wire"
)

// session handles the frames of one connection.
type session struct {
	ls   *Links
	name string
	ac   *agentConn
}

// Beat ignores the agent's heartbeat.
func (se *session) Beat(*wire.Heartbeat) {}

// Heartbeat returns the heartbeat that is sent to the agent.
func (se *session) Heartbeat() wire.Heartbeat {
	return wire.Heartbeat{ConfigRevision: se.ls.revision.Load(), LogTime: se.ls.logTime.Load()}
}

// Frame handles a frame from the agent: it applies a report and delivers other frames to their
// attempts.
func (se *session) Frame(fr *wire.Frame) {
	if fr.Report != nil {
		se.applyReport(fr.Report)
		return
	}
	id := attemptID(fr)
	if id == "" {
		return
	}
	se.ls.mu.Lock()
	at := se.ls.attempts[id]
	se.ls.mu.Unlock()
	if at != nil {
		at.deliver(Event{Frame: fr})
	}
}

// applyReport replaces the runner's state in the fleet, from which runners are chosen, with the
// agent's report.
func (se *session) applyReport(re *wire.Report) {
	we := se.ac.welcome
	ru := route.Runner{
		Name: se.name, Boot: we.Boot, Zone: we.Zone, Region: we.Region, Model: we.Model,
		Services: we.Services, Slots: we.Slots, Places: we.BatchPlaces, Leaving: re.Leaving,
		ReportedRequests: re.Running + re.Waiting, Connected: se.ac.connectedAt,
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
	se.ls.mu.Lock()
	defer se.ls.mu.Unlock()
	if se.ls.conns[se.name] != se.ac {
		return
	}
	ru.UnreportedRequests = int(se.ac.dispatchCount - min(re.Received, se.ac.dispatchCount))
	ru.Leaving = ru.Leaving || se.ls.members.Leaving(se.name)
	se.ls.fleet.Put(ru)
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
