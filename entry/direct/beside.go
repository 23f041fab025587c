package direct

import (
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/spread"
)

// engineRecord is a server with an address on an agent's host: its port there, its zone and the start of its run.
type engineRecord struct {
	id   string
	port string
	zone string
	born int64
}

// reportsOfNew returns, by server, the last reports of agents that stand beside another server than before, if that
// server started when the agent's engine did. The caller must hold as.mu.
func (as *agents) reportsOfNew(previous map[string]string) map[string]engineReport {
	reports := map[string]engineReport{}
	for host, id := range as.servers {
		er, known := as.reports[host]
		if known && previous[host] != id && as.startOf(host, id) == er.load.Born && as.working(host) != nil {
			reports[id] = er
		}
	}
	return reports
}

// startOf returns the start of a server with an address on a host. The caller must hold as.mu.
func (as *agents) startOf(host, id string) int64 {
	for _, er := range as.records[host] {
		if er.id == id {
			return er.born
		}
	}
	return 0
}

// recordsBeside returns the servers with addresses on a host that the engine of its agent can be: those at its port, or
// all if the agent does not tell it or none is there. The caller must hold as.mu.
func (as *agents) recordsBeside(host string) []engineRecord {
	all := as.records[host]
	ac := as.links[host]
	if ac == nil || ac.enginePort == "" {
		return all
	}
	list := make([]engineRecord, 0, len(all))
	for _, er := range all {
		if er.port == ac.enginePort {
			list = append(list, er)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

// serverBeside returns the ID of the server beside the agent of a host; earlier is the one until now. Of several
// with addresses there, of which another writer may have left some, it is the one that started when the agent's engine
// did, the earlier one if it is among those, else the last one that started. The caller must hold as.mu.
func (as *agents) serverBeside(host, earlier string) string {
	running, last := "", engineRecord{}
	for _, er := range as.recordsBeside(host) {
		if er.born != 0 && er.born == as.reports[host].load.Born && (running == "" || er.id == earlier) {
			running = er.id
		}
		if er.born >= last.born {
			last = er
		}
	}
	if running != "" {
		return running
	}
	return last.id
}

// findServerBeside finds the server beside the agent of a host anew. The caller must hold as.mu.
func (as *agents) findServerBeside(host string) {
	earlier := as.servers[host]
	id := as.serverBeside(host, earlier)
	if id == earlier {
		return
	}
	as.servers[host] = id
	as.no.recordAgentUnreachable(earlier)
	as.prepare(host)
}

// zoneOf returns the availability zone of an agent, as the record of the server beside it says. The caller must hold as.mu.
func (as *agents) zoneOf(host string) string {
	for _, er := range as.records[host] {
		if er.id == as.servers[host] {
			return er.zone
		}
	}
	return ""
}

// engineRun is what an agent tells of its engine's run: the port, empty if it does not tell it, and the start.
type engineRun struct {
	port string
	born int64
}

// reportedRuns returns a function that reports whether a server's record says what the agent on its host does: that an
// engine which started then runs there.
func (as *agents) reportedRuns() func(se *roster.Server) bool {
	as.mu.Lock()
	defer as.mu.Unlock()
	runs := map[string]engineRun{}
	for host, er := range as.reports {
		if ac := as.working(host); ac != nil && er.load.Known && er.load.Born != 0 {
			runs[host] = engineRun{port: ac.enginePort, born: er.load.Born}
		}
	}
	ta := as.no.view.table.Load()
	return func(se *roster.Server) bool {
		host, port := splitAddress(se.Address)
		run, ok := runs[host]
		return ok && ta != nil && ta.Services[se.Service].Engine && run.born == se.Born && (run.port == "" || run.port == port)
	}
}

// keepReport keeps what the agent of a host reports of its engine; holds is nil if it only reports the load. The caller
// must hold as.mu.
func (as *agents) keepReport(host string, load spread.Load, holds []spread.AdapterSlot) {
	previous := as.reports[host].load
	if holds == nil && load.Born == previous.Born {
		holds = as.reports[host].holds
	}
	as.reports[host] = engineReport{load: load, holds: holds}
	if load.Born == previous.Born && load.Known == previous.Known {
		return
	}
	as.findServerBeside(host)
	if list := as.records[host]; len(list) != 1 || list[0].born != load.Born {
		as.listOutdated = true
	}
}

// takeListOutdated reports whether agents have said since the last time that other servers run than the list has.
func (as *agents) takeListOutdated() bool {
	as.mu.Lock()
	defer as.mu.Unlock()
	outdated := as.listOutdated
	as.listOutdated = false
	return outdated
}
