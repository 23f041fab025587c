package direct

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/wire"
)

// logRead is what one read of a topic returned, by this node or by the one that forwarded it.
type logRead struct {
	// from is the offset from which on the topic was read.
	from int64
	// listing is true if the batch holds the newest record of each key.
	listing bool
	// afterFailure is true if the reader's previous read of the topic failed.
	afterFailure bool
	batch        LogBatch
}

// applyOwnRead applies a read of this node and forwards it to the nodes that rely on it.
func (fo *follower) applyOwnRead(rd logRead) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.enterEpoch()
	if rd.batch.Epoch != fo.epoch || !rd.listing && !fo.hasNewest {
		// The log has come back from an older copy since the read began.
		return
	}
	news := fo.publish(rd)
	fo.apply(rd, time.Now())
	fo.forward(news)
}

// applyForwarded applies a read that another node forwarded. A read that does not begin where
// this node's knowledge ends is ignored: the node's own next read closes the gap.
func (fo *follower) applyForwarded(lb *wire.LogBatch) error {
	rd := logRead{from: lb.From, listing: lb.Listing, afterFailure: lb.AfterFailure, batch: LogBatch{End: lb.End, Epoch: lb.Epoch}}
	if err := cbor.Unmarshal(lb.Records, &rd.batch.Records); err != nil {
		return errors.Wrap(err, "direct: decode forwarded records")
	}
	for ix := range rd.batch.Records {
		if ta := rd.batch.Records[ix].Table; ta != nil {
			rd.batch.Records[ix].Table = ta.Build()
		}
	}
	if !fo.acceptEpoch(lb.Epoch) {
		return nil
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.enterEpoch()
	mayStart := rd.listing && fo.listed
	if rd.batch.Epoch != fo.epoch || !fo.hasNewest && !mayStart || !rd.listing && rd.from > fo.nextOffset {
		fo.no.logger.Debug().Str("topic", lb.Topic).Int64("from", lb.From).Int64("offset", fo.nextOffset).Msg("forwarded_read_ignored")
		return nil
	}
	if rd.afterFailure && fo.topic == ServersTopic {
		// Servers may be missing only because they could not write their records.
		fo.no.view.withRoster(func(ro *roster.Roster) { ro.MarkLogUnreadable() })
	}
	metricForwardedReads.Add(1)
	fo.publish(rd)
	fo.apply(rd, time.Now())
	return nil
}

// apply applies a read. Records that are older than those already read have no effect.
func (fo *follower) apply(rd logRead, now time.Time) {
	first := rd.listing && !fo.listed
	if rd.listing && rd.batch.End >= fo.nextOffset {
		fo.markRestored(rd.batch, now)
		fo.hasNewest, fo.listed = true, true
		fo.removeMissing(rd.batch, now)
	}
	for ix := range rd.batch.Records {
		fo.no.applyRecord(&rd.batch.Records[ix], fo.epoch, first, now)
	}
	fo.nextOffset = max(fo.nextOffset, rd.batch.End)
	if rd.listing && fo.topic == ServersTopic {
		fo.no.view.setServersListed()
	}
	fo.confirm(now)
}

// markRestored records that a listing is the first one after the log came back from an older copy, if
// the node knew servers from before.
func (fo *follower) markRestored(ba LogBatch, now time.Time) {
	if fo.topic != ServersTopic || fo.hasNewest || fo.nextOffset > 0 {
		return
	}
	fo.no.view.withRoster(func(ro *roster.Roster) {
		if ro.Len() > 0 && ro.Epoch() < fo.epoch {
			ro.MarkRestored(roster.Position{Epoch: fo.epoch, Offset: ba.End}, now)
		}
	})
}

// removeMissing removes the servers that a listing does not contain.
func (fo *follower) removeMissing(ba LogBatch, now time.Time) {
	if fo.topic != ServersTopic {
		return
	}
	present := map[string]bool{}
	for _, lr := range ba.Records {
		if lr.Server != nil {
			present[lr.Server.ID] = true
		}
		present[lr.UnreadableServer] = true
	}
	fo.no.view.withRoster(func(ro *roster.Roster) {
		ro.ApplyListing(present, roster.Position{Epoch: fo.epoch, Offset: ba.End}, now)
	})
}

// confirm records that all records of the topic up to now are known. For the servers it also
// drops those whose records are gone and passes the others to server selection and the agent
// connections.
func (fo *follower) confirm(now time.Time) {
	if fo.logLost {
		fo.no.logger.Info().Str("dependency", "log").Str("topic", fo.topic.String()).Int64("offset", fo.nextOffset).Msg("dependency_regained")
	}
	fo.logLost = false
	fo.confirmedAt = now
	switch fo.topic {
	case OperatorsTopic:
		fo.no.view.routesLogDown.Store(false)
	case ServersTopic:
		fo.no.view.withRoster(func(ro *roster.Roster) {
			ro.MarkLogReadable(now)
			ro.Expire(now)
		})
		fo.no.syncServers(now)
	}
}

// publish takes the records of a read into account that were not read before, and returns the read without those
// that say nothing new. What the node has learned in other ways plays no part in that: the nodes that rely on it have
// not learned it.
func (fo *follower) publish(rd logRead) logRead {
	if fo.topic != ServersTopic || rd.listing && rd.batch.End < fo.nextOffset {
		return rd
	}
	if rd.listing {
		fo.published.Clear()
	}
	news := make([]LogRecord, 0, len(rd.batch.Records))
	for _, lr := range rd.batch.Records {
		known := !rd.listing && lr.Offset < fo.nextOffset
		if known || fo.publishRecord(&lr) || rd.listing {
			news = append(news, lr)
		}
	}
	rd.batch.Records = news
	return rd
}

// publishRecord takes a record into account, and reports whether it says anything new.
func (fo *follower) publishRecord(lr *LogRecord) bool {
	if lr.Server != nil {
		return fo.published.Put(*lr.Server)
	}
	if lr.UnreadableServer != "" {
		return fo.published.Remove(lr.UnreadableServer)
	}
	fo.published.Remove(lr.RemovedServer)
	return true
}

// forward sends a read to the nodes that rely on this one, if there are any.
func (fo *follower) forward(rd logRead) {
	if !fo.no.feeds.hasSubscribers() {
		return
	}
	data, err := cbor.Marshal(rd.batch.Records)
	if err != nil {
		fo.no.logger.Error().Str("topic", fo.topic.String()).Str("error", err.Error()).Msg("read_not_forwarded")
		return
	}
	fo.no.logger.Debug().Str("topic", fo.topic.String()).Int64("from", rd.from).Int64("end", rd.batch.End).Int("records", len(rd.batch.Records)).
		Bool("listing", rd.listing).Msg("read_forwarded")
	fo.no.feeds.forward(&wire.Frame{LogBatch: &wire.LogBatch{
		Topic: fo.topic.String(), Epoch: rd.batch.Epoch, From: rd.from, End: rd.batch.End, Listing: rd.listing, AfterFailure: rd.afterFailure, Records: data,
	}})
}
