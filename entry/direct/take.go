package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/spread"
)

// take enters one record of the log into the node's beliefs.
func (no *Node) take(ch *Change, listed bool, now time.Time) {
	switch {
	case ch.Table != nil:
		if no.be.setTable(ch.Table) {
			no.lg.Info().Int64("version", ch.Table.Version).Int64("offset", ch.Offset).Int("routes", len(ch.Table.Routes)).
				Int("services", len(ch.Table.Services)).Msg("routes_in_force")
			// The table tells which servers are engines, so they are judged anew.
			no.refresh(now)
			no.agents.prepareAll()
		}
	case ch.Version != nil:
		if no.be.announce(ch.Version, listed, now) {
			no.lg.Info().Str("model", ch.Version.Model).Str("adapter", ch.Version.Adapter).Int("version", ch.Version.Version).
				Int64("offset", ch.Offset).Bool("listed", listed).Msg("adapter_version_announced")
		}
	case ch.Server != nil:
		no.takeServer(ch)
	case ch.Removed != "":
		no.lg.Info().Str("server", ch.Removed).Int64("offset", ch.Offset).Msg("server_record_removed")
		no.be.roster(func(ro *roster.Roster) { ro.Remove(ch.Removed, ch.Offset, now) })
	}
}

// takeServer enters a backend server's record.
func (no *Node) takeServer(ch *Change) {
	no.mu.Lock()
	old, known := no.fleet.Server(ch.Server.ID)
	no.mu.Unlock()
	if !known || old.Leaving != ch.Server.Leaving {
		no.lg.Info().Str("server", ch.Server.ID).Str("service", ch.Server.Service).Str("address", ch.Server.Address).
			Str("zone", ch.Server.Zone).Int64("born", ch.Server.Born).Bool("leaving", ch.Server.Leaving).
			Int64("offset", ch.Offset).Msg("server_believed")
	}
	no.be.roster(func(ro *roster.Roster) { ro.Put(*ch.Server, ch.Offset) })
}

// refresh hands the believed servers to the choice and to the links to agents.
func (no *Node) refresh(now time.Time) {
	servers := []roster.Server(nil)
	no.be.roster(func(ro *roster.Roster) { servers = ro.Servers() })
	ids := map[string]bool{}
	no.mu.Lock()
	for ix := range servers {
		se := &servers[ix]
		ids[se.ID] = true
		no.fleet.Put(no.candidate(se))
		no.addresses[se.ID] = se.Address
	}
	no.fleet.Keep(ids)
	for id := range no.addresses {
		if !ids[id] {
			delete(no.addresses, id)
		}
	}
	no.mu.Unlock()
	no.agents.listed(servers, now)
}

// candidate returns a server as the choice sees it.
func (no *Node) candidate(se *roster.Server) spread.Server {
	holds := make([]spread.Hold, 0, len(se.Adapters))
	for _, ad := range se.Adapters {
		holds = append(holds, spread.Hold{Adapter: ad.Name, Version: ad.Version, Ready: true})
	}
	ca := spread.Server{
		ID: se.ID, Service: se.Service, Zone: se.Zone, Region: no.op.Settings.Regions[se.Zone], Places: se.Places, Born: se.Born,
		Leaving: se.Leaving, Model: se.Model, Holds: holds,
	}
	if ta := no.be.table.Load(); ta != nil {
		ca.Engine = ta.Services[se.Service].Engine
	}
	return ca
}
