package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/spread"
)

// applyRecord updates the node's view with one record of the log. The flag initial marks
// records that existed when the node started.
func (no *Node) applyRecord(ch *LogRecord, initial bool, now time.Time) {
	switch {
	case ch.Table != nil:
		if no.view.setTable(ch.Table) {
			no.logger.Info().Int64("version", ch.Table.Version).Int64("offset", ch.Offset).Int("routes", len(ch.Table.Routes)).
				Int("services", len(ch.Table.Services)).Msg("routes_in_force")
			// The table defines which services run engines, so all servers are evaluated
			// again.
			no.syncServers(now)
			no.agents.prepareEngines()
		}
	case ch.Version != nil:
		if no.view.addVersion(ch.Version, initial, now) {
			no.logger.Info().Str("model", ch.Version.Model).Str("adapter", ch.Version.Adapter).Int("version", ch.Version.Version).
				Int64("offset", ch.Offset).Bool("listed", initial).Msg("adapter_version_announced")
		}
	case ch.Server != nil:
		no.applyServerRecord(ch)
	case ch.RemovedServer != "":
		no.logger.Info().Str("server", ch.RemovedServer).Int64("offset", ch.Offset).Msg("server_record_removed")
		no.view.roster(func(ro *roster.Roster) { ro.Remove(ch.RemovedServer, ch.Offset, now) })
	}
}

// applyServerRecord updates the node's view with the record of a backend server.
func (no *Node) applyServerRecord(ch *LogRecord) {
	no.mu.Lock()
	old, known := no.fleet.Server(ch.Server.ID)
	no.mu.Unlock()
	if !known || old.Leaving != ch.Server.Leaving {
		no.logger.Info().Str("server", ch.Server.ID).Str("service", ch.Server.Service).Str("address", ch.Server.Address).
			Str("zone", ch.Server.Zone).Int64("born", ch.Server.Born).Bool("leaving", ch.Server.Leaving).
			Int64("offset", ch.Offset).Msg("server_record_applied")
	}
	no.view.roster(func(ro *roster.Roster) { ro.Put(*ch.Server, ch.Offset) })
}

// syncServers passes the current list of servers to server selection and to the agent
// connections.
func (no *Node) syncServers(now time.Time) {
	servers := []roster.Server(nil)
	no.view.roster(func(ro *roster.Roster) { servers = ro.Servers() })
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
	no.agents.setServers(servers, now)
}

// spreadServer converts a server's record to the form that server selection needs.
func (no *Node) spreadServer(se *roster.Server) spread.Server {
	holds := make([]spread.AdapterSlot, 0, len(se.Adapters))
	for _, ad := range se.Adapters {
		holds = append(holds, spread.AdapterSlot{Adapter: ad.Name, Version: ad.Version, Ready: true})
	}
	ca := spread.Server{
		ID: se.ID, Service: se.Service, Zone: se.Zone, Region: no.options.Settings.Regions[se.Zone], Places: se.Places, Born: se.Born,
		Leaving: se.Leaving, Model: se.Model, AdapterSlots: holds,
	}
	if ta := no.view.table.Load(); ta != nil {
		ca.Engine = ta.Services[se.Service].Engine
	}
	return ca
}
