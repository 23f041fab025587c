package direct

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/reader"
	"github.com/bambooladder/bambooladder/core/roster"
)

const (
	// routesLimitFraction is the part of routes_ms for which a node may rely on its last read of
	// the routes. It is also how long a read waits for new records. A read may miss a change, or
	// hang on a dead connection, and the next read must still find the change in time.
	routesLimitFraction = 0.6
	// serversLimitFraction is the part of leave_ms for which a node may rely on its last read of
	// the servers' records. A leaving server must be noticed within leave_ms.
	serversLimitFraction = 0.45
	// sourceLimitFraction is the part of these limits after which a node reads that reads for
	// others, subscriberLimitFraction the part after which another one no longer relies on it. A
	// node that stopped silently must be noticed while there is time for a read.
	sourceLimitFraction     = 0.55
	subscriberLimitFraction = 0.75
	// readTimeout limits a read, in addition to the time that it waits for new records.
	readTimeout = 1500 * time.Millisecond
	// firstReadTimeout limits the first and then every second read of the newest records while
	// the node is not ready, as peers may have the data.
	firstReadTimeout = 700 * time.Millisecond
	// emptyReadDelay is the least time between reads that return no records.
	emptyReadDelay = 250 * time.Millisecond
	// requestedReadInterval is the least time between the starts of two reads that are made because
	// answers showed that the node's knowledge is out of date.
	requestedReadInterval = 400 * time.Millisecond
	// readRetryStep is the delay after a failed read, multiplied by the number of failures in
	// a row.
	readRetryStep     = 250 * time.Millisecond
	maxReadRetryDelay = time.Second
	// failuresBeforePeers is the number of failed reads after which a node that is not ready
	// asks its peers.
	failuresBeforePeers = 1
)

// follower keeps the node's knowledge of one topic of the log up to date, by reads of its own and
// by those that another node forwards.
type follower struct {
	no       *Node
	topic    Topic
	schedule reader.Schedule
	// scheduleChanged wakes run after the time of the next read has changed.
	scheduleChanged chan struct{}
	// failures is the number of failed reads in a row; only run uses it.
	failures int

	// mu guards the fields below.
	mu sync.Mutex
	// epoch is the epoch of the log that nextOffset belongs to. If it is lower than that of the node's
	// view, the topic has to be read again from the start.
	epoch      int64
	nextOffset int64
	// listed is true once any listing has been applied; unlike hasNewest, it stays so.
	listed bool
	// hasNewest is true once the newest record of each key has been read.
	hasNewest bool
	logLost   bool
	// published is what the records of the servers last said, for the topic that holds them.
	published roster.Published
	// readAt is when the node's last own read began.
	readAt time.Time
	// confirmedAt is when a read last returned all records of the topic.
	confirmedAt time.Time
	// ownRead is the last read of this node that has ended; ownReadEnded is closed when the next one ends.
	ownRead      ownRead
	ownReadEnded chan struct{}
}

// newFollower returns a follower that has read nothing yet.
func newFollower(no *Node, to Topic) *follower {
	limit := routesLimitFraction * float64(no.options.Settings.RoutesMs)
	if to == ServersTopic {
		limit = serversLimitFraction * float64(no.options.Settings.LeaveMs)
	}
	return &follower{
		no: no, topic: to, scheduleChanged: make(chan struct{}, 1), ownReadEnded: make(chan struct{}), schedule: reader.Schedule{
			Limit:           time.Duration(limit * float64(time.Millisecond)),
			SourceLimit:     time.Duration(sourceLimitFraction * limit * float64(time.Millisecond)),
			SubscriberLimit: time.Duration(subscriberLimitFraction * limit * float64(time.Millisecond)),
		},
	}
}

// run reads the topic when a read is due, until the context ends.
func (fo *follower) run(ctx context.Context) {
	for fo.awaitDue(ctx) {
		start := time.Now()
		rd, err := fo.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil || errors.Is(err, ErrExpired)) && !fo.acceptEpoch(rd.batch.Epoch) {
			err = errEpochInvalid
		}
		if err == nil {
			rd.afterFailure = fo.failures > 0
			fo.failures = 0
			fo.no.feeds.confirmSelf()
			if ta := fo.firstTable(rd); ta.HasOrganisations() {
				fo.no.compareRoutes(ctx, ta)
			}
			fo.applyOwnRead(rd)
			fo.recordOwnRead(ownRead{beganAt: start, ok: true})
			if len(rd.batch.Records) == 0 && time.Since(start) < emptyReadDelay {
				// A log that lags behind its own records would be read without a pause.
				fo.sleep(ctx, emptyReadDelay)
			}
			continue
		}
		if errors.Is(err, ErrExpired) {
			fo.expire()
			fo.sleep(ctx, emptyReadDelay)
			continue
		}
		fo.recordOwnRead(ownRead{beganAt: start})
		fo.recordReadFailure(ctx, err)
	}
}

// firstTable returns the routes of a read if they are the first that the node reads from the log, else nil.
func (fo *follower) firstTable(rd logRead) *paths.Table {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.listed {
		return nil
	}
	for ix := range rd.batch.Records {
		if ta := rd.batch.Records[ix].Table; ta != nil {
			return ta
		}
	}
	return nil
}

// awaitDue waits until the next read of the topic is due, and returns false if the context ended.
func (fo *follower) awaitDue(ctx context.Context) bool {
	for ctx.Err() == nil {
		wait := time.Until(fo.nextRead())
		if wait <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
		case <-fo.scheduleChanged:
		case <-time.After(wait):
		}
	}
	return false
}

// nextRead returns when the next read is due. A node that has other nodes to read for, or none to
// rely on, always has a read of the routes waiting for new records.
func (fo *follower) nextRead() time.Time {
	role := fo.no.feeds.currentRole()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.enterEpoch()
	if !fo.hasNewest || fo.topic == OperatorsTopic && role != reader.Subscriber {
		return time.Time{}
	}
	return fo.schedule.NextRead(role, fo.confirmedAt)
}

// wake makes run compute anew when the next read is due.
func (fo *follower) wake() {
	select {
	case fo.scheduleChanged <- struct{}{}:
	default:
	}
}

// expire records that the log has dropped the records that are to be read next.
func (fo *follower) expire() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.no.logger.Warn().Str("topic", fo.topic.String()).Int64("offset", fo.nextOffset).Msg("log_records_expired")
	fo.hasNewest = false
}

// recordReadFailure records a failed read, asks the peers if the node is not ready, and waits
// before the next read.
func (fo *follower) recordReadFailure(ctx context.Context, err error) {
	fo.failures++
	fo.markLost(err)
	fo.no.feeds.avoidSelf()
	if fo.failures >= failuresBeforePeers && !fo.no.view.ready() {
		fo.no.fetchFromPeers(ctx)
	}
	fo.sleep(ctx, min(maxReadRetryDelay, readRetryStep*time.Duration(fo.failures)))
}

// markLost records that the log cannot be read.
func (fo *follower) markLost(err error) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if !fo.logLost {
		fo.logLost = true
		fo.no.logger.Warn().Str("dependency", "log").Str("topic", fo.topic.String()).Int64("offset", fo.nextOffset).
			Str("error", err.Error()).Msg("dependency_lost")
	}
	switch fo.topic {
	case OperatorsTopic:
		fo.no.view.routesLogDown.Store(true)
	case ServersTopic:
		fo.no.view.withRoster(func(ro *roster.Roster) { ro.MarkLogUnreadable() })
	}
}

// lost reports whether the last read of the log failed.
func (fo *follower) lost() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.logLost
}

// age returns the time since a read last returned all records of the topic.
func (fo *follower) age(now time.Time) time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return now.Sub(fo.confirmedAt)
}

// sleep waits for a period or until the context ends.
func (fo *follower) sleep(ctx context.Context, period time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}

// position returns the position up to which the node knows the records of the topic.
func (fo *follower) position() roster.Position {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return roster.Position{Epoch: fo.epoch, Offset: fo.nextOffset}
}
