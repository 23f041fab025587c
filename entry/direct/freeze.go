package direct

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// freezeMin is the time without a sign of life from which on the process counts as frozen; there is one every feedPeriod.
	freezeMin = time.Second
	// freezeReadMax bounds the read of the routes after a freeze, and the wait of requests for it.
	freezeReadMax = 500 * time.Millisecond
)

// freezes notices that the process did not run for a while, so that what it knows may be as old.
type freezes struct {
	mu sync.Mutex
	// aliveAt is the last sign of life.
	aliveAt time.Time
	// read is closed when the read after the last freeze has ended; it is nil if none is under way.
	read chan struct{}
}

// observe records a sign of life and returns the read under way after a freeze, nil for none, and whether it is to begin now.
// There is a read only if keys are in use.
func (fr *freezes) observe(now time.Time, keys bool) (chan struct{}, bool) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	// The monotonic clock of a virtual machine may stand still in a freeze.
	gap := max(now.Sub(fr.aliveAt), now.Round(0).Sub(fr.aliveAt.Round(0)))
	frozen := !fr.aliveAt.IsZero() && gap >= freezeMin
	fr.aliveAt = now
	begins := frozen && keys && fr.read == nil
	if begins {
		fr.read = make(chan struct{})
	}
	return fr.read, begins
}

// end records that the read after a freeze has ended.
func (fr *freezes) end() {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	close(fr.read)
	fr.read = nil
}

// awaitRoutes waits for a read of the routes if the process has just been frozen: a key may have been withdrawn meanwhile, and
// the other nodes refuse it already.
func (no *Node) awaitRoutes(ctx context.Context) {
	if !no.view.table.Load().HasOrganisations() {
		return
	}
	read := no.noticeFreeze()
	if read == nil {
		return
	}
	select {
	case <-read:
	case <-ctx.Done():
	}
}

// noticeFreeze begins a read of the routes if the process was frozen. It returns a channel that is closed when the read under way
// has ended, nil if there is none.
func (no *Node) noticeFreeze() <-chan struct{} {
	read, begins := no.freezes.observe(time.Now(), no.view.table.Load().HasOrganisations())
	if begins {
		go no.readRoutes()
	}
	return read
}

// readRoutes reads the routes once without a wait for new records.
func (no *Node) readRoutes() {
	defer no.freezes.end()
	ctx, cancel := context.WithTimeout(no.ctx, freezeReadMax)
	defer cancel()
	start := time.Now()
	err := no.feeds.followers[OperatorsTopic.String()].readNow(ctx)
	if err != nil {
		no.logger.Warn().Str("error", err.Error()).Dur("took", time.Since(start)).Msg("routes_not_read_after_freeze")
		return
	}
	no.logger.Info().Dur("took", time.Since(start)).Msg("routes_read_after_freeze")
}

// readNow reads the records since the last read beside the read that waits for new ones, and applies them.
func (fo *follower) readNow(ctx context.Context) error {
	fo.mu.Lock()
	fo.enterEpoch()
	rd, hasNewest := logRead{from: fo.nextOffset}, fo.hasNewest
	fo.mu.Unlock()
	if !hasNewest {
		return errors.New("direct: the newest records are being read")
	}
	metricLogReads.Add(1)
	ba, err := fo.no.options.LogReader.After(ctx, fo.topic, rd.from, 0)
	if err != nil {
		return err
	}
	if !fo.acceptEpoch(ba.Epoch) {
		return errEpochInvalid
	}
	rd.batch = ba
	fo.applyOwnRead(rd)
	return nil
}
