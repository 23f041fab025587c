package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/spread"
)

// applyRecord updates the node's view with one record of an epoch of the log. The flag initial marks
// records that existed when the node started.
func (no *Node) applyRecord(lr *LogRecord, epoch int64, initial bool, now time.Time) {
	at := roster.Position{Epoch: epoch, Offset: lr.Offset}
	switch {
	case lr.Table != nil:
		if no.setTable(lr.Table, now) {
			no.logger.Info().Int64("version", lr.Table.Version).Int64("epoch", epoch).Int64("offset", lr.Offset).Int("routes", len(lr.Table.Routes)).
				Int("services", len(lr.Table.Services)).Int("organisations", len(lr.Table.Organisations)).Msg("routes_in_force")
			// The table defines which services run engines, so all servers are evaluated
			// again.
			no.syncServers(now)
			no.agents.prepareEngines()
		}
	case lr.Version != nil:
		if no.view.addVersion(lr.Version, initial, now) {
			no.logger.Info().Str("model", lr.Version.Model).Str("adapter", lr.Version.Adapter).Int("version", lr.Version.Version).
				Int64("offset", lr.Offset).Bool("listed", initial).Msg("adapter_version_announced")
		}
	case lr.Server != nil:
		no.applyServerRecord(lr, at)
	case lr.UnreadableServer != "":
		no.view.withRoster(func(ro *roster.Roster) {
			if ro.MarkUnreadable(lr.UnreadableServer, at, now) {
				no.logger.Warn().Str("server", lr.UnreadableServer).Int64("offset", lr.Offset).Msg("server_record_overwritten")
			}
		})
	case lr.RemovedServer != "":
		no.logger.Info().Str("server", lr.RemovedServer).Int64("offset", lr.Offset).Msg("server_record_removed")
		no.view.withRoster(func(ro *roster.Roster) { ro.Remove(lr.RemovedServer, at, now) })
	}
}

// setTable puts a routing table in force and reports whether it is newer than the one before.
func (no *Node) setTable(ta *paths.Table, now time.Time) bool {
	earlier, newer := no.view.setTable(ta)
	if newer {
		no.origins.routesChanged(earlier, ta, now)
	}
	return newer
}

// applyServerRecord puts the record of a backend server into the roster. The change reaches
// server selection when syncServers runs next.
func (no *Node) applyServerRecord(lr *LogRecord, at roster.Position) {
	no.mu.Lock()
	old, known := no.fleet.Server(lr.Server.ID)
	no.mu.Unlock()
	if !known || old.Leaving != lr.Server.Leaving || old.Born != lr.Server.Born || old.Software != lr.Server.Software {
		no.logger.Info().Str("server", lr.Server.ID).Str("service", lr.Server.Service).Str("address", lr.Server.Address).
			Str("zone", lr.Server.Zone).Int64("born", lr.Server.Born).Str("software", lr.Server.Software).Bool("leaving", lr.Server.Leaving).
			Int64("offset", lr.Offset).Msg("server_record_applied")
	}
	no.view.withRoster(func(ro *roster.Roster) { ro.Put(*lr.Server, at) })
}

// syncServers passes the current list of servers to server selection and to the agent
// connections.
func (no *Node) syncServers(now time.Time) {
	no.syncing.Lock()
	defer no.syncing.Unlock()
	servers, reported := []roster.Server(nil), no.agents.reportedRuns()
	no.view.withRoster(func(ro *roster.Roster) { servers = ro.Servers(no.view.offers(), reported) })
	ids := map[string]bool{}
	no.mu.Lock()
	for ix := range servers {
		se := &servers[ix]
		ids[se.ID] = true
		no.fleet.Put(no.spreadServer(se))
		no.addresses[se.ID] = se.Address
	}
	no.fleet.RemoveExcept(ids)
	for id := range no.addresses {
		if !ids[id] {
			delete(no.addresses, id)
		}
	}
	no.mu.Unlock()
	for id, er := range no.agents.setServers(servers, now) {
		no.recordEngineReport(id, er.load, er.holds)
	}
	no.crashes.recordServers(servers)
	no.origins.recordServers(servers, now)
}

// spreadServer converts a server's record to the form that server selection needs.
func (no *Node) spreadServer(se *roster.Server) spread.Server {
	holds := make([]spread.AdapterSlot, 0, len(se.Adapters))
	for _, ad := range se.Adapters {
		holds = append(holds, spread.AdapterSlot{Adapter: ad.Name, Version: ad.Version, Ready: true})
	}
	sv := spread.Server{
		ID: se.ID, Service: se.Service, Zone: se.Zone, Region: no.options.Settings.Regions[se.Zone], Places: se.Places, Born: se.Born,
		Leaving: se.Leaving, Software: se.Software, Model: se.Model, AdapterSlots: holds,
	}
	if ta := no.view.table.Load(); ta != nil {
		sv.Engine = ta.Services[se.Service].Engine
	}
	return sv
}
