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

// readList takes the platform's list of hosts; an old list serves while it cannot be read.
func (ls *Links) readList(ctx context.Context) {
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
	ls.ready = true
	for name := range ls.peers {
		if ls.members.Leaving(name) {
			ls.setLeaving(name)
		}
	}
}

// setLeaving keeps new work from a runner that the list says leaves.
func (ls *Links) setLeaving(name string) {
	if ru, ok := ls.fleet.Runner(name); ok && !ru.Leaving {
		ru.Leaving = true
		ls.fleet.Put(ru)
	}
}

// dialDue dials the hosts that are due.
func (ls *Links) dialDue(ctx context.Context) {
	ls.mu.Lock()
	due := ls.members.TakeDue(time.Now())
	ls.mu.Unlock()
	for _, ho := range due {
		go ls.connect(ctx, ho)
	}
}

// connect carries one connection from its dial to its loss.
func (ls *Links) connect(ctx context.Context, ho member.Host) {
	co, we, err := ls.dial(ctx, ho)
	if err != nil {
		ls.op.Logger.Debug().Str("runner", ho.Name).Str("error", err.Error()).Msg("dial_failed")
		ls.lost(ho.Name, nil)
		return
	}
	pe := &peer{co: co, welcome: we, connected: time.Now()}
	ls.opened(ho.Name, pe)
	err = co.Run(ctx, &session{ls: ls, name: ho.Name, pe: pe})
	ls.op.Logger.Info().Str("runner", ho.Name).Str("reason", err.Error()).Msg("link_lost")
	ls.lost(ho.Name, pe)
}

// dial opens a connection and exchanges the first frames.
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
		return nil, nil, errors.Newf("links: %s welcomed the connection as %s instead of %s", ho.Address, we.Runner, ho.Name)
	}
	return co, we, nil
}

// opened enters a connection and tells the attempts at its runner.
func (ls *Links) opened(name string, pe *peer) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.members.Connected(name)
	ls.peers[name] = pe
	ls.tell(name, LinkChange{Up: true, Boot: pe.welcome.Boot})
	ls.op.Logger.Info().Str("runner", name).Str("boot", pe.welcome.Boot).Msg("link_opened")
}

// lost takes a connection out and tells the attempts at its runner.
func (ls *Links) lost(name string, pe *peer) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.members.Disconnected(name, time.Now(), ls.op.Random())
	if pe == nil || ls.peers[name] != pe {
		return
	}
	delete(ls.peers, name)
	ls.fleet.Remove(name)
	ls.tell(name, LinkChange{})
}

// tell passes a change of a connection to the attempts at its runner.
func (ls *Links) tell(name string, ch LinkChange) {
	for _, at := range ls.attempts {
		if at.Runner == name {
			at.deliver(Event{Link: &ch})
		}
	}
}
