package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/fold"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/plat"
)

const (
	// SettingsStream is the log stream of the changes to the settings.
	SettingsStream = "settings"
	// SnapshotStream is the log stream of the snapshots of the accepted settings.
	SnapshotStream = "settings-snapshots"

	// pollWait is how long a read waits for the next record.
	pollWait      = 1500 * time.Millisecond
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// recordsPerSnapshot is the number of applied records after which a snapshot is written.
	recordsPerSnapshot = 256
	// snapshotInterval is the time after which a snapshot is written even if fewer records were
	// applied.
	snapshotInterval = 10 * time.Minute
)

// Log is a client of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data [][]byte) error
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (plat.Page, error)
}

// Peers is a client of the other entry nodes.
type Peers interface {
	// LatestImage returns the image, a copy of the complete settings, of the peer that has applied
	// the most records, or false if no peer answers.
	LatestImage(ctx context.Context) (record.Image, bool)
}

// Follower reads the settings stream and keeps the accepted settings up to date.
type Follower struct {
	log   Log
	peers Peers
	lg    zerolog.Logger
	// name is the name of the entry node.
	name  string
	view  atomic.Pointer[View]
	ready atomic.Bool

	// mu protects changed and the writes to view.
	mu sync.Mutex
	// changed is closed and replaced when the view is replaced.
	changed chan struct{}

	// recordsSinceSnapshot is the number of records applied since lastSnapshotAt.
	recordsSinceSnapshot int
	// lastSnapshotAt is when this node last tried to write a snapshot, or started.
	lastSnapshotAt time.Time
}

// NewFollower returns a follower that has not read any settings yet.
func NewFollower(lo Log, pe Peers, name string, lg zerolog.Logger) *Follower {
	fo := &Follower{log: lo, peers: pe, name: name, lg: lg, changed: make(chan struct{})}
	fo.view.Store(newView(fold.State{}))
	return fo
}

// View returns the settings in force.
func (fo *Follower) View() *View { return fo.view.Load() }

// Ready reports whether the settings have been read to the end of the stream or from a peer.
func (fo *Follower) Ready() bool { return fo.ready.Load() }

// Changed returns a channel that is closed when the view is replaced the next time.
func (fo *Follower) Changed() <-chan struct{} {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.changed
}

// Run reads the stream until the context ends. While the log cannot be read, it asks the peers.
func (fo *Follower) Run(ctx context.Context) {
	fo.lastSnapshotAt = time.Now()
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := fo.readOnce(ctx)
		if err == nil {
			delay = minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		fo.lg.Warn().Str("error", err.Error()).Int64("next", fo.View().State.Next()).Msg("settings_unreadable")
		fo.loadFromPeers(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// readOnce reads from the log once and applies the records. Until the settings are ready, it also
// loads the newest snapshot and does not wait for new records.
func (fo *Follower) readOnce(ctx context.Context) error {
	if !fo.Ready() {
		if err := fo.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	wait := pollWait
	if !fo.Ready() {
		wait = 0
	}
	next := fo.View().State.Next()
	page, err := fo.log.Read(ctx, SettingsStream, next, wait)
	if errors.Is(err, plat.ErrExpired) {
		return fo.loadSnapshotPastExpired(ctx, next)
	}
	if err != nil {
		return err
	}
	if err := fo.applyRecords(page.LogRecords); err != nil {
		return err
	}
	if fo.View().State.Next() >= page.Next && !fo.ready.Swap(true) {
		fo.lg.Info().Int64("revision", fo.View().State.Revision()).Msg("settings_ready")
	}
	fo.writeSnapshotIfDue(ctx)
	return nil
}

// loadSnapshotPastExpired loads a snapshot because the log has deleted the records at the offset
// next. It returns an error if no snapshot contains them.
func (fo *Follower) loadSnapshotPastExpired(ctx context.Context, next int64) error {
	if err := fo.loadSnapshot(ctx); err != nil {
		return err
	}
	if fo.View().State.Next() <= next {
		return errors.Newf("config: records from offset %d have expired and no snapshot covers them; start a node that still has them", next)
	}
	return nil
}

// applyRecords applies records in order and logs the outcome of each change.
func (fo *Follower) applyRecords(records []record.LogRecord) error {
	st := fo.View().State
	for _, en := range records {
		next, oc, err := st.WithRecord(en)
		if err != nil {
			return err
		}
		if oc == nil {
			fo.lg.Warn().Int64("offset", en.Offset).Msg("settings_record_skipped")
		} else {
			fo.lg.Info().Str("change", oc.Change).Str("author", oc.Author).Str("outcome", string(oc.Kind)).
				Int64("revision", oc.Revision).Str("reason", oc.Detail).Msg("settings_change_processed")
		}
		st = next
		fo.recordsSinceSnapshot++
	}
	if len(records) > 0 {
		fo.publish(st)
	}
	return nil
}

// publish replaces the view, unless the current one has more records applied.
func (fo *Follower) publish(st fold.State) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if st.Next() < fo.View().State.Next() {
		return
	}
	fo.view.Store(newView(st))
	close(fo.changed)
	fo.changed = make(chan struct{})
}

// loadSnapshot publishes the newest complete snapshot in the log, if there is one.
func (fo *Follower) loadSnapshot(ctx context.Context) error {
	as := fold.Assembler{}
	from := int64(0)
	for {
		page, err := fo.log.Read(ctx, SnapshotStream, from, 0)
		if errors.Is(err, plat.ErrExpired) {
			from = page.First
			continue
		}
		if err != nil {
			return err
		}
		for _, en := range page.LogRecords {
			env, err := record.Decode(en.Data)
			if err != nil || env.Chunk == nil {
				continue
			}
			if st, complete := as.AddChunk(env.Chunk); complete {
				fo.publish(st)
			}
		}
		from += int64(len(page.LogRecords))
		if len(page.LogRecords) == 0 || from >= page.Next {
			return nil
		}
	}
}

// loadFromPeers publishes the settings of the peer that has applied the most records, if they are
// newer than this node's or this node has none.
func (fo *Follower) loadFromPeers(ctx context.Context) {
	im, ok := fo.peers.LatestImage(ctx)
	if !ok || im.Next <= fo.View().State.Next() && fo.Ready() {
		return
	}
	st, err := fold.FromImage(im)
	if err != nil {
		fo.lg.Warn().Str("error", err.Error()).Msg("peer_settings_refused")
		return
	}
	fo.publish(st)
	if !fo.ready.Swap(true) {
		fo.lg.Info().Int64("revision", st.Revision()).Msg("settings_ready_from_peer")
	}
}

// writeSnapshotIfDue writes a snapshot if enough records were applied or enough time has passed
// since the last one. Nodes that write snapshots at the same time do not conflict.
func (fo *Follower) writeSnapshotIfDue(ctx context.Context) {
	if fo.View().State.Next() == 0 || fo.recordsSinceSnapshot < recordsPerSnapshot && time.Since(fo.lastSnapshotAt) < snapshotInterval {
		return
	}
	fo.recordsSinceSnapshot = 0
	fo.lastSnapshotAt = time.Now()
	chunks, err := fo.View().State.Chunks(fo.name + "-" + uuid.Must(uuid.NewV7()).String())
	if err != nil {
		fo.lg.Error().Str("error", err.Error()).Msg("snapshot_failed")
		return
	}
	for ix := range chunks {
		data, err := record.Encode(&record.Envelope{Chunk: &chunks[ix]})
		if err == nil {
			err = fo.log.Append(ctx, SnapshotStream, [][]byte{data})
		}
		if err != nil {
			fo.lg.Warn().Str("error", err.Error()).Int("chunk", ix).Msg("snapshot_failed")
			return
		}
	}
	fo.lg.Info().Int("chunks", len(chunks)).Int64("offset", fo.View().State.Next()).Msg("snapshot_written")
}
