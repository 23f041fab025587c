package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/roster"
)

const (
	// waitPart is the part of routes_ms for which a read waits at the log for a change by an
	// operator: a read may miss the change, or wait on a connection that has fallen
	// silent, and the next one must find it in time.
	waitPart = 0.6
	// leavePart is the part of leave_ms between reads of the servers' records: a leaving
	// server must be noticed within leave_ms, and each read is paid.
	leavePart = 0.45
	// readTimeout bounds a read beyond the time it waits at the log.
	readTimeout = 1500 * time.Millisecond
	// firstTimeout bounds a read while the node knows nothing: peers may know more.
	firstTimeout = 700 * time.Millisecond
	// emptyWait is the least time between reads that bring nothing.
	emptyWait = 250 * time.Millisecond
	// retryWait is the time before a failed read is made again.
	retryWait = 250 * time.Millisecond
	retryMax  = time.Second
	// peersAfter is the number of failed reads after which a node that knows nothing asks its peers.
	peersAfter = 1
)

// follower reads one topic for ever.
type follower struct {
	no   *Node
	to   Topic
	next int64
	// listed is true once the newest record of each key was read.
	listed bool
	lost   bool
	fails  int
	// changed is true after a read that brought records.
	changed bool
}

// run reads until the context ends.
func (fo *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		err := fo.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			fo.regained()
			fo.pause(ctx, fo.period(time.Since(start)))
			continue
		}
		if errors.Is(err, ErrExpired) {
			fo.no.lg.Warn().Str("topic", fo.to.String()).Int64("offset", fo.next).Msg("log_records_expired")
			fo.listed = false
			fo.pause(ctx, emptyWait)
			continue
		}
		fo.failed(ctx, err)
	}
}

// period returns the pause after a read that succeeded. A read that brought nothing and
// did not wait at the log, as while the log is behind itself, is not made again at once.
func (fo *follower) period(took time.Duration) time.Duration {
	switch {
	case fo.to == Servers:
		return time.Duration(leavePart * float64(fo.no.op.Settings.LeaveMs) * float64(time.Millisecond))
	case !fo.listed || !fo.changed && took < emptyWait:
		return emptyWait
	}
	return 0
}

// failed records a failed read.
func (fo *follower) failed(ctx context.Context, err error) {
	fo.fails++
	if !fo.lost {
		fo.lost = true
		fo.no.lg.Warn().Str("dependency", "log").Str("topic", fo.to.String()).Int64("offset", fo.next).
			Str("error", err.Error()).Msg("dependency_lost")
	}
	switch fo.to {
	case Operators:
		fo.no.be.away.Store(true)
	case Servers:
		fo.no.be.roster(func(ro *roster.Roster) { ro.Disturbed() })
	}
	if fo.fails >= peersAfter && !fo.no.be.ready() {
		fo.no.askPeers(ctx)
	}
	fo.pause(ctx, min(retryMax, retryWait*time.Duration(fo.fails)))
}

// regained records a read that succeeded.
func (fo *follower) regained() {
	if fo.lost {
		fo.no.lg.Info().Str("dependency", "log").Str("topic", fo.to.String()).Int64("offset", fo.next).
			Int("failures", fo.fails).Msg("dependency_regained")
	}
	fo.lost = false
	fo.fails = 0
	switch fo.to {
	case Operators:
		fo.no.be.away.Store(false)
	case Servers:
		now := time.Now()
		fo.no.be.roster(func(ro *roster.Roster) {
			ro.Undisturbed(now)
			ro.Expire(now)
		})
		fo.no.refresh(now)
	}
}

// pause waits.
func (fo *follower) pause(ctx context.Context, period time.Duration) {
	if period <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}

// read reads the next part of the topic.
func (fo *follower) read(ctx context.Context) error {
	if !fo.listed {
		return fo.list(ctx)
	}
	wait := fo.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	ba, err := fo.no.op.Source.After(ctx, fo.to, fo.next, wait)
	if err != nil {
		return err
	}
	fo.changed = len(ba.Changes) > 0
	fo.apply(ba, false)
	return nil
}

// wait returns how long the next read waits at the log.
func (fo *follower) wait() time.Duration {
	if fo.to == Servers {
		return 0
	}
	return time.Duration(waitPart * float64(fo.no.op.Settings.RoutesMs) * float64(time.Millisecond))
}

// list reads the newest record of each key.
func (fo *follower) list(ctx context.Context) error {
	timeout := readTimeout
	if !fo.no.be.ready() && fo.fails%2 == 0 {
		timeout = firstTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ba, err := fo.no.op.Source.Newest(ctx, fo.to)
	if err != nil {
		return err
	}
	first := fo.next == 0
	if ba.End >= fo.next {
		fo.listed = true
		fo.missing(ba)
	}
	fo.apply(ba, first)
	if fo.to == Servers {
		fo.no.be.setListed()
	}
	return nil
}

// missing removes the servers that a listing lacks.
func (fo *follower) missing(ba Batch) {
	if fo.to != Servers {
		return
	}
	present := map[string]bool{}
	for _, ch := range ba.Changes {
		if ch.Server != nil {
			present[ch.Server.ID] = true
		}
	}
	fo.no.be.roster(func(ro *roster.Roster) { ro.Listed(present, ba.End, time.Now()) })
}

// apply takes the records of a batch; a batch that is older than what was read changes nothing.
func (fo *follower) apply(ba Batch, listed bool) {
	now := time.Now()
	for ix := range ba.Changes {
		fo.no.take(&ba.Changes[ix], listed, now)
	}
	fo.next = max(fo.next, ba.End)
}
