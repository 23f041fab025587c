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
	// Stream carries changes of the settings.
	Stream = "settings"
	// SnapshotStream carries snapshots of the fold.
	SnapshotStream = "settings-snapshots"

	pollWait      = 1500 * time.Millisecond
	retryFirst    = 200 * time.Millisecond
	retryMax      = 2 * time.Second
	snapshotEvery = 256
	snapshotAge   = 10 * time.Minute
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data [][]byte) error
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (plat.Page, error)
}

// Peers are the other entry nodes.
type Peers interface {
	// Furthest returns the image of the peer that is furthest ahead, or false where none answers.
	Furthest(ctx context.Context) (record.Image, bool)
}

// Follower follows the settings stream.
type Follower struct {
	log   Log
	peers Peers
	lg    zerolog.Logger
	name  string
	view  atomic.Pointer[View]
	ready atomic.Bool

	mu      sync.Mutex
	changed chan struct{}

	folded     int
	snapshotAt time.Time
}

// NewFollower returns a follower that knows no settings yet.
func NewFollower(lo Log, pe Peers, name string, lg zerolog.Logger) *Follower {
	fo := &Follower{log: lo, peers: pe, name: name, lg: lg, changed: make(chan struct{})}
	fo.view.Store(newView(fold.State{}))
	return fo
}

// View returns the settings in force.
func (fo *Follower) View() *View { return fo.view.Load() }

// Ready tells whether the node has read the settings once.
func (fo *Follower) Ready() bool { return fo.ready.Load() }

// Changed returns a channel that closes when more records were folded.
func (fo *Follower) Changed() <-chan struct{} {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.changed
}

// Run follows the stream until the context ends.
func (fo *Follower) Run(ctx context.Context) {
	fo.snapshotAt = time.Now()
	delay := retryFirst
	for ctx.Err() == nil {
		err := fo.advance(ctx)
		if err == nil {
			delay = retryFirst
			continue
		}
		if ctx.Err() != nil {
			return
		}
		fo.lg.Warn().Str("error", err.Error()).Int64("next", fo.View().State.Next()).Msg("settings_unreadable")
		fo.askPeers(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, retryMax)
	}
}

// advance reads once and folds what it read.
func (fo *Follower) advance(ctx context.Context) error {
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
	page, err := fo.log.Read(ctx, Stream, next, wait)
	if errors.Is(err, plat.ErrExpired) {
		return fo.bridge(ctx, next)
	}
	if err != nil {
		return err
	}
	if err := fo.fold(page.Entries); err != nil {
		return err
	}
	if fo.View().State.Next() >= page.Next && !fo.ready.Swap(true) {
		fo.lg.Info().Int64("revision", fo.View().State.Revision()).Msg("settings_ready")
	}
	fo.snapshotIfDue(ctx)
	return nil
}

// bridge loads a snapshot because records that were due have expired.
func (fo *Follower) bridge(ctx context.Context, next int64) error {
	if err := fo.loadSnapshot(ctx); err != nil {
		return err
	}
	if fo.View().State.Next() <= next {
		return errors.Newf("config: records from offset %d have expired and no snapshot covers them; start a node that still has them", next)
	}
	return nil
}

// fold applies records in their order.
func (fo *Follower) fold(entries []record.LogRecord) error {
	st := fo.View().State
	for _, en := range entries {
		next, oc, err := st.WithRecord(en)
		if err != nil {
			return err
		}
		if oc == nil {
			fo.lg.Warn().Int64("offset", en.Offset).Msg("settings_record_skipped")
		} else {
			fo.lg.Info().Str("change", oc.Change).Str("author", oc.Author).Str("outcome", string(oc.Kind)).
				Int64("revision", oc.Revision).Str("reason", oc.Detail).Msg("settings_change_folded")
		}
		st = next
		fo.folded++
	}
	if len(entries) > 0 {
		fo.publish(st)
	}
	return nil
}

// publish puts a state in force unless a later one already is.
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

// loadSnapshot takes the newest whole snapshot in the log.
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
		for _, en := range page.Entries {
			env, err := record.Decode(en.Data)
			if err != nil || env.Chunk == nil {
				continue
			}
			if st, whole := as.AddChunk(env.Chunk); whole {
				fo.publish(st)
			}
		}
		from += int64(len(page.Entries))
		if len(page.Entries) == 0 || from >= page.Next {
			return nil
		}
	}
}

// askPeers takes the settings of the peer that is furthest ahead.
func (fo *Follower) askPeers(ctx context.Context) {
	im, ok := fo.peers.Furthest(ctx)
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

// snapshotIfDue writes a snapshot after many records or a long time; two writers at once do no harm.
func (fo *Follower) snapshotIfDue(ctx context.Context) {
	if fo.View().State.Next() == 0 || fo.folded < snapshotEvery && time.Since(fo.snapshotAt) < snapshotAge {
		return
	}
	fo.folded = 0
	fo.snapshotAt = time.Now()
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
