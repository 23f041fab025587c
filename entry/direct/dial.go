package direct

import (
	"context"
	"strconv"
	"time"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/wire"
)

// run connects to agents when a connection or reconnection is due, and makes the list of servers anew when their reports
// show that it is out of date, until the context ends.
func (as *agents) run(ctx context.Context) {
	tick := time.NewTicker(dialPeriod)
	defer tick.Stop()
	for {
		as.mu.Lock()
		due := as.members.TakeDue(time.Now())
		as.mu.Unlock()
		for _, ho := range due {
			go as.runConnection(ctx, ho)
		}
		if as.takeListOutdated() {
			as.no.syncServers(time.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// runConnection opens a connection to an agent and serves it until it is lost.
func (as *agents) runConnection(ctx context.Context, ho member.Host) {
	co, we, err := as.dial(ctx, ho)
	if err != nil {
		as.no.logger.Debug().Str("agent", ho.Name).Str("error", err.Error()).Msg("dial_failed")
		as.removeConnection(ho.Name, nil)
		return
	}
	ac := &agentConn{co: co, boot: we.Boot, keepsOrigins: we.KeepsOrigins, keepsVersions: we.KeepsVersions, keepsQuotas: we.KeepsQuotas}
	if we.EnginePort > 0 {
		ac.enginePort = strconv.Itoa(we.EnginePort)
	}
	as.addConnection(ho.Name, ac)
	err = co.Run(ctx, &frameReceiver{as: as, host: ho.Name, ac: ac})
	as.no.logger.Info().Str("dependency", "agent").Str("agent", ho.Name).Str("reason", err.Error()).Msg("dependency_lost")
	as.removeConnection(ho.Name, ac)
}

// dial connects to an agent and exchanges the Hello and Welcome frames.
func (as *agents) dial(ctx context.Context, ho member.Host) (*link.Conn, *wire.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return link.Connect(ctx, as.no.options.Network, ho.Address, as.no.hello())
}

// hello returns the frame that introduces the node on a new connection.
func (no *Node) hello() *wire.Hello {
	se := &no.options.Settings
	return &wire.Hello{Entry: se.Place.Name, EntryBoot: no.boot, Zone: se.Place.Zone, Region: se.Place.Region, PeerAddress: se.PeerAddress}
}

// addConnection registers a new connection and reports to the agent the grants that are still in
// use. Those are queued before a release can be: the agent would keep a grant that it is told of after its release.
func (as *agents) addConnection(host string, ac *agentConn) {
	frames := []*wire.Frame(nil) // the Prepare frame, if any, and the grants in use
	as.mu.Lock()
	as.members.Connected(host)
	as.links[host] = ac
	as.servers[host] = as.serverBeside(host, as.servers[host])
	if fr := as.prepareFrame(host); fr != nil {
		frames = append(frames, fr)
	}
	for _, hg := range as.granted {
		if hg.host == host {
			re := hg.re
			re.Held = true
			frames = append(frames, &wire.Frame{Reserve: &re})
		}
	}
	sent := len(frames) == 0 || ac.co.TrySendBatch(frames)
	as.mu.Unlock()
	as.no.logger.Info().Str("dependency", "agent").Str("agent", host).Str("agent_boot", ac.boot).Int("frames", len(frames)).Bool("sent", sent).Msg("dependency_regained")
	as.no.origins.sendVersions(ac)
	if ac.keepsOrigins {
		as.restoreOrigins(host, as.no.origins.mixedStreams(as.no.view.services(), time.Now()))
	}
}

// removeConnection records a failed dial or a lost connection and schedules the next dial.
func (as *agents) removeConnection(host string, ac *agentConn) {
	as.mu.Lock()
	as.members.Disconnected(host, time.Now(), as.no.options.Random())
	id := as.servers[host]
	current := ac != nil && as.links[host] == ac
	if current {
		delete(as.links, host)
	}
	as.mu.Unlock()
	if current {
		as.moveOrigins(host, as.no.origins.mixedStreams(as.no.view.services(), time.Now()))
		as.no.feeds.removePeers(host)
		as.no.recordAgentUnreachable(id)
	}
}
