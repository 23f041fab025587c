package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/roster"
)

const (
	// longPollFraction is the part of routes_ms for which a read waits for new records. A read
	// may miss a change, or hang on a dead connection, and the next read must still find the
	// change in time.
	longPollFraction = 0.6
	// serversReadFraction is the part of leave_ms between two reads of the servers' records. A
	// leaving server must be noticed within leave_ms, and every read is charged for.
	serversReadFraction = 0.45
	// readTimeout limits a read, in addition to the time that it waits for new records.
	readTimeout = 1500 * time.Millisecond
	// firstReadTimeout limits the first and then every second read of the newest records while
	// the node is not ready, as peers may have the data.
	firstReadTimeout = 700 * time.Millisecond
	// emptyReadDelay is the least time between reads that return no records.
	emptyReadDelay = 250 * time.Millisecond
	// readRetryStep is the delay after a failed read, multiplied by the number of failures in
	// a row.
	readRetryStep     = 250 * time.Millisecond
	maxReadRetryDelay = time.Second
	// failuresBeforePeers is the number of failed reads after which a node that is not ready
	// asks its peers.
	failuresBeforePeers = 1
)

// follower reads one topic continuously.
type follower struct {
	no         *Node
	topic      Topic
	nextOffset int64
	// hasNewest is true once the newest record of each key has been read.
	hasNewest bool
	logLost   bool
	failures  int
	// gotRecords is true if the last read returned records.
	gotRecords bool
}

// run reads the topic until the context ends.
func (fo *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		err := fo.readNext(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			fo.finishRead()
			fo.sleep(ctx, fo.delayAfterRead(time.Since(start)))
			continue
		}
		if errors.Is(err, ErrExpired) {
			fo.no.logger.Warn().Str("topic", fo.topic.String()).Int64("offset", fo.nextOffset).Msg("log_records_expired")
			fo.hasNewest = false
			fo.sleep(ctx, emptyReadDelay)
			continue
		}
		fo.recordReadFailure(ctx, err)
	}
}

// delayAfterRead returns the delay after a successful read. A read that came back empty
// without waiting for records, as happens while the log lags behind, is not repeated at once.
func (fo *follower) delayAfterRead(took time.Duration) time.Duration {
	switch {
	case fo.topic == ServersTopic:
		return time.Duration(serversReadFraction * float64(fo.no.options.Settings.LeaveMs) * float64(time.Millisecond))
	case !fo.hasNewest || !fo.gotRecords && took < emptyReadDelay:
		return emptyReadDelay
	}
	return 0
}

// recordReadFailure records a failed read, asks the peers if the node is not ready, and waits
// before the next read.
func (fo *follower) recordReadFailure(ctx context.Context, err error) {
	fo.failures++
	if !fo.logLost {
		fo.logLost = true
		fo.no.logger.Warn().Str("dependency", "log").Str("topic", fo.topic.String()).Int64("offset", fo.nextOffset).
			Str("error", err.Error()).Msg("dependency_lost")
	}
	switch fo.topic {
	case OperatorsTopic:
		fo.no.view.routesLogDown.Store(true)
	case ServersTopic:
		fo.no.view.roster(func(ro *roster.Roster) { ro.MarkLogUnreadable() })
	}
	if fo.failures >= failuresBeforePeers && !fo.no.view.ready() {
		fo.no.fetchFromPeers(ctx)
	}
	fo.sleep(ctx, min(maxReadRetryDelay, readRetryStep*time.Duration(fo.failures)))
}

// finishRead records a successful read. After a read of the servers it also drops those whose
// records are gone and passes the others to server selection and the agent connections.
func (fo *follower) finishRead() {
	if fo.logLost {
		fo.no.logger.Info().Str("dependency", "log").Str("topic", fo.topic.String()).Int64("offset", fo.nextOffset).
			Int("failures", fo.failures).Msg("dependency_regained")
	}
	fo.logLost = false
	fo.failures = 0
	switch fo.topic {
	case OperatorsTopic:
		fo.no.view.routesLogDown.Store(false)
	case ServersTopic:
		now := time.Now()
		fo.no.view.roster(func(ro *roster.Roster) {
			ro.MarkLogReadable(now)
			ro.Expire(now)
		})
		fo.no.syncServers(now)
	}
}

// sleep waits for a period or until the context ends.
func (fo *follower) sleep(ctx context.Context, period time.Duration) {
	if period <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}

// readNext reads the next records of the topic.
func (fo *follower) readNext(ctx context.Context) error {
	if !fo.hasNewest {
		return fo.readNewest(ctx)
	}
	maxWait := fo.maxWait()
	ctx, cancel := context.WithTimeout(ctx, maxWait+readTimeout)
	defer cancel()
	ba, err := fo.no.options.LogReader.After(ctx, fo.topic, fo.nextOffset, maxWait)
	if err != nil {
		return err
	}
	fo.gotRecords = len(ba.Records) > 0
	fo.applyBatch(ba, false)
	return nil
}

// maxWait returns how long the next read waits for new records.
func (fo *follower) maxWait() time.Duration {
	if fo.topic == ServersTopic {
		return 0
	}
	return time.Duration(longPollFraction * float64(fo.no.options.Settings.RoutesMs) * float64(time.Millisecond))
}

// readNewest reads the newest record of each key.
func (fo *follower) readNewest(ctx context.Context) error {
	timeout := readTimeout
	if !fo.no.view.ready() && fo.failures%2 == 0 {
		timeout = firstReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ba, err := fo.no.options.LogReader.ReadNewest(ctx, fo.topic)
	if err != nil {
		return err
	}
	first := fo.nextOffset == 0
	if ba.End >= fo.nextOffset {
		fo.hasNewest = true
		fo.removeMissing(ba)
	}
	fo.applyBatch(ba, first)
	if fo.topic == ServersTopic {
		fo.no.view.setServersListed()
	}
	return nil
}

// removeMissing removes the servers that the newest records do not contain.
func (fo *follower) removeMissing(ba LogBatch) {
	if fo.topic != ServersTopic {
		return
	}
	present := map[string]bool{}
	for _, lr := range ba.Records {
		if lr.Server != nil {
			present[lr.Server.ID] = true
		}
	}
	fo.no.view.roster(func(ro *roster.Roster) { ro.ApplyListing(present, ba.End, time.Now()) })
}

// applyBatch applies the records of a batch. Records that are older than those already read
// have no effect.
func (fo *follower) applyBatch(ba LogBatch, initial bool) {
	now := time.Now()
	for ix := range ba.Records {
		fo.no.applyRecord(&ba.Records[ix], initial, now)
	}
	fo.nextOffset = max(fo.nextOffset, ba.End)
}
