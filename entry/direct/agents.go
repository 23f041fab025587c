package direct

import (
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// dialPeriod is how often the node checks which connections are due.
	dialPeriod  = 100 * time.Millisecond
	dialTimeout = 1500 * time.Millisecond
	// grantFramesBuffer is the number of replies that can be queued for one reservation.
	grantFramesBuffer = 8
	// assumedEntries is the number of entry nodes to assume until an agent has reported it.
	assumedEntries = 64
	// agentAnswerTimeout is how long an agent may take to reply to a reservation before it
	// counts as not responding.
	agentAnswerTimeout = 200 * time.Millisecond
)

// agentConn is a connection to an agent.
type agentConn struct {
	co *link.Conn
	// boot identifies the agent's run.
	boot string
	// keepsOrigins is true if the agent keeps what began streams.
	keepsOrigins bool
	// keepsVersions is true if the agent keeps the software versions of services.
	keepsVersions bool
	// keepsQuotas is true if the agent keeps the accounts of organisations.
	keepsQuotas bool
	// enginePort is the port of the agent's engine, empty if the agent does not tell it.
	enginePort string
	// silent is true from an unanswered reservation until the agent sends anything.
	silent bool
}

// agents manages the connections to the agents, keyed by the host they share with their
// engine.
type agents struct {
	no *Node

	// mu guards the fields below.
	mu      sync.Mutex
	members member.Members
	// maxEntries is the highest number of connected entry nodes that any agent has reported.
	maxEntries int
	links      map[string]*agentConn
	// servers maps each agent's host to the ID of the server beside the agent, records to all servers with addresses
	// on it, and reports to what the agent last reported of its engine.
	servers map[string]string
	records map[string][]engineRecord
	reports map[string]engineReport
	// hosts holds the hosts of servers; it is replaced, not changed. hostsNumber counts its versions.
	hosts       []string
	hostsNumber int64
	// listOutdated is true if an agent has reported another run than that of the only server with an address on its host.
	listOutdated bool
	// waiting holds the attempts that wait for a grant, granted those that have one; both are
	// keyed by attempt ID.
	waiting map[string]*grantWaiter
	granted map[string]*heldGrant
}

// engineReport is what an agent last reported of its engine; holds are its adapters.
type engineReport struct {
	load  spread.Load
	holds []spread.AdapterSlot
}

// grantWaiter receives the replies of agents for an attempt that waits for a grant or another answer.
type grantWaiter struct {
	// server is the server that the attempt is meant for, empty if it is for none yet.
	server string
	frames chan *wire.Frame
}

// tryDeliver passes a frame on without blocking and reports whether the buffer had room.
func (gw *grantWaiter) tryDeliver(fr *wire.Frame) bool {
	select {
	case gw.frames <- fr:
		return true
	default:
		return false
	}
}

// heldGrant is a grant in use: its reservation and the host of the agent that granted it.
type heldGrant struct {
	host string
	re   wire.Reserve
}

// newAgents returns a set without connections.
func newAgents(no *Node) *agents {
	return &agents{
		no: no, links: map[string]*agentConn{}, servers: map[string]string{}, reports: map[string]engineReport{},
		waiting: map[string]*grantWaiter{}, granted: map[string]*heldGrant{},
	}
}

// splitAddress returns the IP address and the port, both empty if the address is invalid.
func splitAddress(address string) (host, port string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", ""
	}
	return host, port
}

// setServers replaces the list of servers; those that are engines have an agent on their host. It returns, by server, the
// last reports of agents that have now turned out to stand beside another server.
func (as *agents) setServers(servers []roster.Server, now time.Time) map[string]engineReport {
	ta := as.no.view.table.Load()
	if ta == nil {
		return nil
	}
	hosts := make([]member.Host, 0, len(servers))
	records := map[string][]engineRecord{}
	for ix := range servers {
		se := &servers[ix]
		host, port := splitAddress(se.Address)
		if !ta.Services[se.Service].Engine || host == "" {
			continue
		}
		records[host] = append(records[host], engineRecord{id: se.ID, port: port, zone: se.Zone, born: se.Born})
		hosts = append(hosts, member.Host{
			Name: host, Address: net.JoinHostPort(host, strconv.Itoa(as.no.options.Settings.AgentPort)), Zone: se.Zone,
		})
	}
	as.mu.Lock()
	defer as.mu.Unlock()
	as.members.ApplyList(hosts, now)
	previous := as.servers
	as.records, as.servers = records, map[string]string{}
	for host := range records {
		as.servers[host] = as.serverBeside(host, previous[host])
	}
	as.setHosts()
	maps.DeleteFunc(as.reports, func(host string, _ engineReport) bool { return records[host] == nil })
	for host := range as.links {
		if previous[host] != as.servers[host] {
			as.no.recordAgentUnreachable(previous[host])
			as.prepare(host)
		}
	}
	as.refuseWaiting(servers)
	return as.reportsOfNew(previous)
}

// prepare sends an agent the base model and slots that its engine must provide. The caller must hold as.mu.
func (as *agents) prepare(host string) {
	ac := as.links[host]
	if fr := as.prepareFrame(host); ac != nil && fr != nil {
		ac.co.TrySend(fr)
	}
}

// refuseWaiting refuses the attempts that wait for grants at servers that are leaving or gone.
func (as *agents) refuseWaiting(servers []roster.Server) {
	staying := map[string]bool{}
	for ix := range servers {
		staying[servers[ix].ID] = !servers[ix].Leaving
	}
	for attempt, gw := range as.waiting {
		if gw.server != "" && !staying[gw.server] {
			gw.tryDeliver(&wire.Frame{Refusal: &wire.Refusal{Attempt: attempt, Reason: reasonServerLeaving}})
		}
	}
}

// prepareEngines sends every agent the base model and slots that its engine must provide.
func (as *agents) prepareEngines() {
	as.mu.Lock()
	defer as.mu.Unlock()
	for host := range as.links {
		as.prepare(host)
	}
}

// prepareFrame returns the frame with the base model and slots that an engine must provide, or
// nil if they are unknown.
func (as *agents) prepareFrame(host string) *wire.Frame {
	ta := as.no.view.table.Load()
	service, ok := as.no.serviceOf(as.servers[host])
	if ta == nil || !ok || len(ta.Services[service].Models) == 0 {
		return nil
	}
	sv := ta.Services[service]
	id := as.servers[host]
	return &wire.Frame{Prepare: &wire.Prepare{
		Model: sv.Models[0].Name, Slots: sv.AdapterSlots, Server: id, Born: as.no.runStartOf(id),
	}}
}

// entryCount returns the number of entry nodes that share retry budgets and connection limits.
// Until an agent has reported a count, it is assumedEntries. Then it is the highest count that
// any agent has ever reported, so that nodes which restart together do not each act as the only
// one, and at least the number of configured peers.
func (as *agents) entryCount() int {
	as.mu.Lock()
	defer as.mu.Unlock()
	if as.maxEntries == 0 {
		return assumedEntries
	}
	return max(as.maxEntries, len(as.no.options.Settings.Peers))
}
