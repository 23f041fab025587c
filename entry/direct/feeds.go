package direct

import (
	"context"
	"sync"
	"time"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/reader"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// feedPeriod is how often a node checks which node it relies on.
	feedPeriod = 200 * time.Millisecond
	// sourceSilenceMax is how long a node waits for a forwarded read before it chooses another
	// node to rely on.
	sourceSilenceMax = 2 * time.Second
)

// feeds exchanges reads of the log with the other entry nodes of the availability zone.
type feeds struct {
	no        *Node
	followers map[string]*follower

	// mu guards the fields below.
	mu          sync.Mutex
	zone        reader.Zone
	role        reader.Role
	subscribers map[*link.Conn]context.CancelFunc
	// source is the connection to the node that this one relies on, nil if there is none.
	source *feed
	// candidate is the connection to a node that replaces source once it has forwarded a read.
	candidate *feed
}

// feed is a connection to a node that forwards its reads of the log.
type feed struct {
	peer   reader.Peer
	cancel context.CancelFunc
	// lastForward is when the node last forwarded a read, or when the connection was begun.
	lastForward time.Time
}

// newFeeds returns feeds without connections, for the followers of the node's topics.
func newFeeds(no *Node, followers ...*follower) *feeds {
	fe := &feeds{no: no, followers: map[string]*follower{}, subscribers: map[*link.Conn]context.CancelFunc{}}
	for _, fo := range followers {
		fe.followers[fo.topic.String()] = fo
	}
	return fe
}

// self returns the node as its peers know it.
func (fe *feeds) self() reader.Peer {
	se := &fe.no.options.Settings
	return reader.Peer{Name: se.Place.Name, Address: se.PeerAddress}
}

// applyPeers stores the entry nodes that an agent reports.
func (fe *feeds) applyPeers(host string, pe *wire.Peers) {
	peers := make([]reader.Peer, 0, len(pe.Entries))
	for _, en := range pe.Entries {
		peers = append(peers, reader.Peer{Name: en.Name, Address: en.Address})
	}
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.zone.ApplyListing(host, peers)
}

// removePeers forgets what an agent reported.
func (fe *feeds) removePeers(host string) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.zone.RemoveListing(host)
}

// avoidSelf makes the node rely on another one for a while, because it cannot read the log.
func (fe *feeds) avoidSelf() {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.zone.Avoid(fe.self(), fe.self().Address, time.Now())
}

// cannotRead reports whether the node's own reads of the log fail.
func (fe *feeds) cannotRead() bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.zone.Avoided(fe.self().Address, time.Now())
}

// confirmSelf records that the node can read the log.
func (fe *feeds) confirmSelf() {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.zone.Confirm(fe.self().Address)
}

// currentRole returns the node's role.
func (fe *feeds) currentRole() reader.Role {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.role
}

// hasSubscribers reports whether other nodes rely on this one.
func (fe *feeds) hasSubscribers() bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return len(fe.subscribers) > 0
}

// run chooses the node to rely on, until the context ends.
func (fe *feeds) run(ctx context.Context) {
	tick := time.NewTicker(feedPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			fe.no.noticeFreeze()
			fe.chooseSource(ctx, time.Now())
		}
	}
}

// chooseSource replaces the source if it is silent or no longer the right one. A working source
// is kept until the next one has forwarded a read.
func (fe *feeds) chooseSource(ctx context.Context, now time.Time) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	for _, fd := range [...]*feed{fe.source, fe.candidate} {
		if fd != nil && now.Sub(fd.lastForward) > sourceSilenceMax {
			fe.endFeed(fd, "silent", now)
		}
	}
	target, ok := fe.zone.Source(fe.self(), now)
	switch {
	case !ok:
		fe.dropFeed(fe.source)
		fe.dropFeed(fe.candidate)
	case fe.source.isTo(target):
		fe.dropFeed(fe.candidate)
	case !fe.candidate.isTo(target):
		fe.dropFeed(fe.candidate)
		feedCtx, cancel := context.WithCancel(ctx)
		fe.candidate = &feed{peer: target, cancel: cancel, lastForward: now}
		go fe.subscribe(feedCtx, fe.candidate)
	}
	fe.updateRole()
}

// isTo reports whether a connection exists and leads to a node.
func (fd *feed) isTo(pe reader.Peer) bool { return fd != nil && fd.peer == pe }

// endFeed ends a connection that failed, and avoids the node for a while.
func (fe *feeds) endFeed(fd *feed, reason string, now time.Time) {
	fe.no.logger.Info().Str("dependency", "log_source").Str("source", fd.peer.Name).Str("address", fd.peer.Address).
		Str("reason", reason).Dur("silent_for", now.Sub(fd.lastForward)).Msg("dependency_lost")
	fe.zone.Avoid(fe.self(), fd.peer.Address, now)
	fe.dropFeed(fd)
}

// dropFeed ends a connection, if there is one.
func (fe *feeds) dropFeed(fd *feed) {
	if fd == nil {
		return
	}
	fd.cancel()
	if fe.source == fd {
		fe.source = nil
	}
	if fe.candidate == fd {
		fe.candidate = nil
	}
}

// recordForward records that a node forwarded a read. A candidate becomes the source.
func (fe *feeds) recordForward(fd *feed) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fd.lastForward = time.Now()
	fe.zone.Confirm(fd.peer.Address)
	if fe.candidate != fd {
		return
	}
	fe.dropFeed(fe.source)
	fe.source, fe.candidate = fd, nil
	fe.no.logger.Info().Str("dependency", "log_source").Str("source", fd.peer.Name).Str("address", fd.peer.Address).Msg("dependency_regained")
	fe.updateRole()
}

// updateRole sets the role from the present connections, and makes the followers compute anew
// when they read if it has changed.
func (fe *feeds) updateRole() {
	role := reader.Alone
	switch {
	case fe.source != nil:
		role = reader.Subscriber
	case len(fe.subscribers) > 0:
		role = reader.Source
	}
	if role == fe.role {
		return
	}
	fe.no.logger.Info().Str("role", role.String()).Str("earlier_role", fe.role.String()).Int("subscribers", len(fe.subscribers)).Msg("log_role_changed")
	fe.role = role
	for _, fo := range fe.followers {
		fo.wake()
	}
}
