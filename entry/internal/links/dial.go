package links

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/plat"
)

// refreshHosts reads the platform's host list. While the list cannot be read, the last one
// stays in use.
func (ls *Links) refreshHosts(ctx context.Context) {
	hosts, err := ls.op.Hosts.List(ctx)
	if err != nil {
		ls.op.Logger.Warn().Str("error", err.Error()).Msg("host_list_unreadable")
		return
	}
	agents := make([]member.Host, 0, len(hosts))
	entries := make([]member.Host, 0)
	for _, ho := range hosts {
		switch ho.Role {
		case plat.RoleAgent:
			agents = append(agents, ho)
		case plat.RoleEntry:
			entries = append(entries, ho)
		}
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.members.ApplyList(agents, time.Now())
	ls.entries = entries
	ls.hostsLoaded = true
	for name := range ls.conns {
		if ls.members.Leaving(name) {
			ls.markLeaving(name)
		}
	}
}

// markLeaving marks a runner as leaving, so that it gets no new requests.
func (ls *Links) markLeaving(name string) {
	if ru, ok := ls.fleet.Runner(name); ok && !ru.Leaving {
		ru.Leaving = true
		ls.fleet.Put(ru)
	}
}

// dialDue connects to the hosts whose next connection attempt is due.
func (ls *Links) dialDue(ctx context.Context) {
	ls.mu.Lock()
	due := ls.members.TakeDue(time.Now())
	ls.mu.Unlock()
	for _, ho := range due {
		go ls.runConnection(ctx, ho)
	}
}

// runConnection dials a host and handles the connection until it is lost.
func (ls *Links) runConnection(ctx context.Context, ho member.Host) {
	co, we, err := ls.dial(ctx, ho)
	if err != nil {
		ls.op.Logger.Debug().Str("runner", ho.Name).Str("error", err.Error()).Msg("dial_failed")
		ls.removeConnection(ho.Name, nil)
		return
	}
	ac := &agentConn{co: co, welcome: we, connectedAt: time.Now()}
	ls.addConnection(ho.Name, ac)
	err = co.Run(ctx, &frameReceiver{ls: ls, name: ho.Name, ac: ac})
	attempts := ls.removeConnection(ho.Name, ac)
	ls.op.Logger.Info().Str("runner", ho.Name).Str("reason", err.Error()).Int("attempts", attempts).Msg("link_lost")
}

// dial opens a connection and exchanges the Hello and Welcome frames. It fails if the agent is not
// that of the host.
func (ls *Links) dial(ctx context.Context, ho member.Host) (*link.Conn, *wire.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	he := &wire.Hello{Entry: ls.op.Place.Name, EntryBoot: ls.op.Boot, Zone: ls.op.Place.Zone}
	co, we, err := link.Connect(ctx, ls.op.Dialer, ho.Address, he)
	if err != nil {
		return nil, nil, err
	}
	if we.Runner != ho.Name {
		co.ForceClose()
		return nil, nil, errors.Newf("links: the agent at %s is that of runner %s, want %s", ho.Address, we.Runner, ho.Name)
	}
	return co, we, nil
}

// addConnection adds a new connection and notifies the attempts at its runner.
func (ls *Links) addConnection(name string, ac *agentConn) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.members.Connected(name)
	ls.conns[name] = ac
	ls.notifyAttempts(name, ConnectionChange{Up: true, Boot: ac.welcome.Boot})
	ls.op.Logger.Info().Str("runner", name).Str("boot", ac.welcome.Boot).Msg("link_opened")
}

// removeConnection removes a lost connection and notifies the attempts at its runner, whose number it returns. The
// connection is nil if the dial failed.
func (ls *Links) removeConnection(name string, ac *agentConn) int {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.members.Disconnected(name, time.Now(), ls.op.Random())
	if ac == nil || ls.conns[name] != ac {
		return 0
	}
	delete(ls.conns, name)
	ls.fleet.Remove(name)
	return ls.notifyAttempts(name, ConnectionChange{})
}

// notifyAttempts delivers a connection change to all attempts at a runner and returns their number.
func (ls *Links) notifyAttempts(name string, ch ConnectionChange) int {
	count := 0
	for _, at := range ls.attempts {
		if at.Runner == name {
			at.deliver(Event{Connection: &ch})
			count++
		}
	}
	return count
}
