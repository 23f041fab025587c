package direct

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	duePeriod   = 100 * time.Millisecond
	dialTimeout = 1500 * time.Millisecond
	signalsMax  = 8
	// entriesUnknown stands for the number of entry nodes until an agent has told it.
	entriesUnknown = 64
	// answerMax is how long an agent may take to answer a reservation before it counts as silent.
	answerMax = 200 * time.Millisecond
)

// agentLink is a connection to an agent; its server is known by identity.
type agentLink struct {
	co   *link.Conn
	boot string
	// silent is true after a reservation that was not answered, until anything arrives.
	silent bool
}

// agents holds the connections to the agents, by the host of their engines.
type agents struct {
	no *Node

	mu      sync.Mutex
	members member.Members
	// mostEntries is the most entry nodes that an agent has counted.
	mostEntries int
	links       map[string]*agentLink
	// servers maps the hosts of agents to the servers beside them.
	servers map[string]string
	// waiting holds the attempts that wait for a grant, granted those that hold one.
	waiting map[string]*wait
	granted map[string]*reservation
}

// wait is an attempt that waits for a grant at an agent.
type wait struct {
	server string
	frames chan *wire.Frame
}

// deliver hands a frame over without waiting and tells whether there was room.
func (wa *wait) deliver(fr *wire.Frame) bool {
	select {
	case wa.frames <- fr:
		return true
	default:
		return false
	}
}

// reservation is an attempt at an agent.
type reservation struct {
	host string
	re   wire.Reserve
}

// newAgents returns no connections yet.
func newAgents(no *Node) *agents {
	return &agents{
		no: no, links: map[string]*agentLink{}, servers: map[string]string{},
		waiting: map[string]*wait{}, granted: map[string]*reservation{},
	}
}

// hostOf returns the IP number of an address.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// listed takes the believed servers; those that are engines have agents.
func (as *agents) listed(servers []roster.Server, now time.Time) {
	ta := as.no.be.table.Load()
	if ta == nil {
		return
	}
	hosts := make([]member.Host, 0, len(servers))
	byHost := map[string]string{}
	for ix := range servers {
		se := &servers[ix]
		host := hostOf(se.Address)
		if !ta.Services[se.Service].Engine || host == "" {
			continue
		}
		byHost[host] = se.ID
		hosts = append(hosts, member.Host{
			Name: host, Address: net.JoinHostPort(host, strconv.Itoa(as.no.op.Settings.AgentPort)), Zone: se.Zone,
		})
	}
	as.mu.Lock()
	defer as.mu.Unlock()
	as.members.Listed(hosts, now)
	changed := as.servers
	as.servers = byHost
	for host, al := range as.links {
		if changed[host] == byHost[host] {
			continue
		}
		if fr := as.prepare(host); fr != nil {
			al.co.TrySend(fr)
		}
	}
	as.abandon(servers)
}

// abandon ends the waits for grants at servers that leave or are gone.
func (as *agents) abandon(servers []roster.Server) {
	staying := map[string]bool{}
	for ix := range servers {
		staying[servers[ix].ID] = !servers[ix].Leaving
	}
	for attempt, wa := range as.waiting {
		if !staying[wa.server] {
			wa.deliver(&wire.Frame{Refusal: &wire.Refusal{Attempt: attempt, Reason: reasonLeaving}})
		}
	}
}

// run dials the agents that are due until the context ends.
func (as *agents) run(ctx context.Context) {
	tick := time.NewTicker(duePeriod)
	defer tick.Stop()
	for {
		as.mu.Lock()
		due := as.members.Due(time.Now())
		as.mu.Unlock()
		for _, ho := range due {
			go as.connect(ctx, ho)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// connect carries one connection from its dial to its loss.
func (as *agents) connect(ctx context.Context, ho member.Host) {
	co, we, err := as.dial(ctx, ho)
	if err != nil {
		as.no.lg.Debug().Str("agent", ho.Name).Str("error", err.Error()).Msg("dial_failed")
		as.lost(ho.Name, nil)
		return
	}
	al := &agentLink{co: co, boot: we.Boot}
	as.opened(ctx, ho.Name, al)
	err = co.Run(ctx, &receiver{as: as, host: ho.Name, al: al})
	as.no.lg.Info().Str("dependency", "agent").Str("agent", ho.Name).Str("reason", err.Error()).Msg("dependency_lost")
	as.lost(ho.Name, al)
}

// dial opens a connection and exchanges the first frames.
func (as *agents) dial(ctx context.Context, ho member.Host) (*link.Conn, *wire.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	place := as.no.op.Settings.Place
	return link.Greet(ctx, as.no.op.Network, ho.Address, &wire.Hello{Entry: place.Name, EntryBoot: as.no.boot, Zone: place.Zone})
}

// opened enters a connection and names the grants that are still in use.
func (as *agents) opened(ctx context.Context, host string, al *agentLink) {
	frames := []*wire.Frame(nil)
	as.mu.Lock()
	as.members.Connected(host)
	as.links[host] = al
	if fr := as.prepare(host); fr != nil {
		frames = append(frames, fr)
	}
	for _, rs := range as.granted {
		if rs.host == host {
			re := rs.re
			re.Held = true
			frames = append(frames, &wire.Frame{Reserve: &re})
		}
	}
	as.mu.Unlock()
	as.no.lg.Info().Str("dependency", "agent").Str("agent", host).Str("agent_boot", al.boot).Int("held", len(frames)).Msg("dependency_regained")
	if len(frames) == 0 {
		return
	}
	go func() {
		if err := al.co.Send(ctx, frames...); err != nil {
			as.no.lg.Debug().Str("agent", host).Str("error", err.Error()).Msg("frames_not_sent")
		}
	}()
}

// lost takes a connection out and ends the waits for grants over it.
func (as *agents) lost(host string, al *agentLink) {
	as.mu.Lock()
	as.members.Lost(host, time.Now(), as.no.op.Random())
	id := as.servers[host]
	current := al != nil && as.links[host] == al
	if current {
		delete(as.links, host)
	}
	as.mu.Unlock()
	if current {
		as.no.untold(id)
	}
}

// prepareAll tells every agent what its engine is to hold.
func (as *agents) prepareAll() {
	as.mu.Lock()
	defer as.mu.Unlock()
	for host, al := range as.links {
		if fr := as.prepare(host); fr != nil {
			al.co.TrySend(fr)
		}
	}
}

// prepare returns the frame that tells an agent what its engine is to hold, or nil.
func (as *agents) prepare(host string) *wire.Frame {
	ta := as.no.be.table.Load()
	service, ok := as.no.serviceOf(as.servers[host])
	if ta == nil || !ok || len(ta.Services[service].Models) == 0 {
		return nil
	}
	sv := ta.Services[service]
	id := as.servers[host]
	return &wire.Frame{Prepare: &wire.Prepare{
		Model: sv.Models[0].Name, Slots: sv.AdapterSlots, Server: id, Born: as.no.bornOf(id),
	}}
}

// entries returns the number of entry nodes that share the retry budget: the most that
// an agent has ever counted, as nodes that restart together must not all think that they
// are alone.
func (as *agents) entries() int {
	as.mu.Lock()
	defer as.mu.Unlock()
	if as.mostEntries == 0 {
		return entriesUnknown
	}
	return max(as.mostEntries, len(as.no.op.Settings.Peers))
}
