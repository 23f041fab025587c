package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/reader"
)

// ownRead is a read of this node that has ended.
type ownRead struct {
	beganAt time.Time
	ok      bool
}

// read reads the next records of the topic, or the newest record of each key if it has not done
// so yet.
func (fo *follower) read(ctx context.Context) (logRead, error) {
	fo.mu.Lock()
	fo.enterEpoch()
	fo.readAt = time.Now()
	rd := logRead{from: fo.nextOffset, listing: !fo.hasNewest}
	fo.mu.Unlock()
	metricLogReads.Add(1)
	if rd.listing {
		return fo.readNewest(ctx, rd)
	}
	maxWait := fo.maxWait()
	ctx, cancel := context.WithTimeout(ctx, maxWait+readTimeout)
	defer cancel()
	ba, err := fo.no.options.LogReader.After(ctx, fo.topic, rd.from, maxWait)
	rd.batch = ba
	return rd, err
}

// maxWait returns how long the next read waits for new records.
func (fo *follower) maxWait() time.Duration {
	switch {
	case fo.topic == ServersTopic:
		return 0
	case fo.no.feeds.currentRole() == reader.Source:
		return fo.schedule.SourceLimit
	case fo.no.feeds.currentRole() == reader.Subscriber:
		return 0
	}
	return fo.schedule.Limit
}

// readNewest reads the newest record of each key.
func (fo *follower) readNewest(ctx context.Context, rd logRead) (logRead, error) {
	timeout := readTimeout
	if !fo.no.view.ready() && fo.failures%2 == 0 {
		timeout = firstReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ba, err := fo.no.options.LogReader.ReadNewest(ctx, fo.topic)
	rd.batch = ba
	return rd, err
}

// readSoon makes the node read the topic at once, unless it has just done so, because an answer
// showed that its knowledge is out of date.
func (fo *follower) readSoon(now time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if now.Sub(fo.readAt) < requestedReadInterval {
		return
	}
	fo.confirmedAt = time.Time{}
	fo.wake()
}

// recordOwnRead records that a read of this node has ended.
func (fo *follower) recordOwnRead(or ownRead) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.ownRead = or
	close(fo.ownReadEnded)
	fo.ownReadEnded = make(chan struct{})
}

// catchUp makes the node know all records that were written until a time, by a read of its own that begins after it.
// A forwarded read does not show when it began. It returns false if that fails, or the context ends.
func (fo *follower) catchUp(ctx context.Context, until time.Time) bool {
	for ctx.Err() == nil {
		fo.mu.Lock()
		last, ended := fo.ownRead, fo.ownReadEnded
		fo.mu.Unlock()
		if !last.beganAt.Before(until) {
			return last.ok
		}
		fo.readSoon(time.Now())
		select {
		case <-ctx.Done():
		case <-ended:
		case <-time.After(requestedReadInterval / 4):
		}
	}
	return false
}
