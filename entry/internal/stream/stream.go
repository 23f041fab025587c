package stream

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/plat"
)

const (
	pollWait   = 3 * time.Second
	retryWait  = 200 * time.Millisecond
	groupMax   = 500
	pendingMax = 4096
	// answerWait is how long the next group waits for the answer to the last one.
	answerWait = 100 * time.Millisecond
	// flightMax bounds the appends without an answer.
	flightMax = 8
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data [][]byte) error
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (plat.Page, error)
}

// Fold is what the records of a stream add up to; the stream calls it under its lock.
type Fold interface {
	// Next returns the next offset to fold.
	Next() int64
	// Restart begins again at an offset because the records before it have expired.
	Restart(first int64)
	// Apply folds one record and returns the stream's time in Unix milliseconds.
	Apply(en record.LogRecord) int64
}

// Options builds a stream.
type Options struct {
	Name string
	Log  Log
	Fold Fold
	// Seen takes each new log time in Unix milliseconds.
	Seen func(int64)
	// TickAfter is the time without a record after which an empty one is appended, so
	// that the stream never expires whole; zero appends none.
	TickAfter time.Duration
	Logger    zerolog.Logger
}

// pending is a record that waits for its append.
type pending struct {
	data   []byte
	result chan error
}

// Stream is one stream with its fold.
type Stream struct {
	op      Options
	pending chan pending
	heard   time.Time

	mu      sync.Mutex
	changed chan struct{}
	current bool
}

// NewStream returns a stream that was not read yet.
func NewStream(op Options) *Stream {
	return &Stream{op: op, pending: make(chan pending, pendingMax), changed: make(chan struct{})}
}

// Run follows and appends until the context ends.
func (st *Stream) Run(ctx context.Context) {
	wg := sync.WaitGroup{}
	wg.Go(func() { st.follow(ctx) })
	wg.Go(func() { st.commit(ctx) })
	wg.Wait()
}

// With runs a function under the lock of the fold and tells whether the fold has read to the end of the stream.
func (st *Stream) With(use func()) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	use()
	return st.current
}

// Await runs a function under the lock of the fold after each change until it returns true.
func (st *Stream) Await(ctx context.Context, done func() bool) error {
	for {
		st.mu.Lock()
		ended, changed := done(), st.changed
		st.mu.Unlock()
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "stream: read %s back", st.op.Name)
		}
	}
}

// Append queues a record for the next group and waits for the result.
// plat.ErrNotAppended means that it was not appended; any other error leaves it open.
func (st *Stream) Append(ctx context.Context, en *record.Envelope) error {
	data, err := record.Encode(en)
	if err != nil {
		return err
	}
	pe := pending{data: data, result: make(chan error, 1)}
	select {
	case st.pending <- pe:
	default:
		return plat.ErrNotAppended
	}
	select {
	case err := <-pe.result:
		return err
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "stream: append to %s", st.op.Name)
	}
}

// follow folds the stream until the context ends.
func (st *Stream) follow(ctx context.Context) {
	st.heard = time.Now()
	for ctx.Err() == nil {
		err := st.advance(ctx)
		if err == nil {
			continue
		}
		st.setCurrent(false)
		st.op.Logger.Warn().Str("stream", st.op.Name).Str("error", err.Error()).Msg("stream_unreadable")
		select {
		case <-ctx.Done():
		case <-time.After(retryWait):
		}
	}
}

// setCurrent tells whether the fold has read to the end.
func (st *Stream) setCurrent(current bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.current = current
}

// advance reads once and folds what it read.
func (st *Stream) advance(ctx context.Context) error {
	st.mu.Lock()
	next, wait := st.op.Fold.Next(), pollWait
	if !st.current {
		wait = 0
	}
	st.mu.Unlock()
	page, err := st.op.Log.Read(ctx, st.op.Name, next, wait)
	if errors.Is(err, plat.ErrExpired) {
		st.op.Logger.Warn().Str("stream", st.op.Name).Int64("offset", next).Int64("first", page.First).Msg("stream_expired")
		st.mu.Lock()
		st.op.Fold.Restart(page.First)
		st.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	st.fold(page)
	st.tick(ctx, len(page.Entries) > 0)
	return nil
}

// fold applies a page.
func (st *Stream) fold(page plat.Page) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, en := range page.Entries {
		st.op.Seen(st.op.Fold.Apply(en))
	}
	st.current = st.op.Fold.Next() >= page.Next
	close(st.changed)
	st.changed = make(chan struct{})
}

// tick appends an empty record to a stream that was quiet for long.
func (st *Stream) tick(ctx context.Context, heard bool) {
	if heard {
		st.heard = time.Now()
	}
	if st.op.TickAfter == 0 || time.Since(st.heard) < st.op.TickAfter {
		return
	}
	st.heard = time.Now()
	go func() { _ = st.Append(ctx, &record.Envelope{}) }()
}

// commit appends queued records in groups. The next group waits for the answer to
// the last one, but not for long, so that a lost answer does not hold it up.
func (st *Stream) commit(ctx context.Context) {
	flight := make(chan struct{}, flightMax)
	for {
		group := st.group(ctx)
		if len(group) == 0 {
			return
		}
		flight <- struct{}{}
		done := make(chan struct{})
		go func() {
			defer func() { <-flight }()
			defer close(done)
			st.appendGroup(ctx, group)
		}()
		select {
		case <-done:
		case <-time.After(answerWait):
		}
	}
}

// appendGroup appends a group and hands each record its result.
func (st *Stream) appendGroup(ctx context.Context, group []pending) {
	data := make([][]byte, 0, len(group))
	for _, pe := range group {
		data = append(data, pe.data)
	}
	err := st.op.Log.Append(ctx, st.op.Name, data)
	for _, pe := range group {
		pe.result <- err
	}
}

// group waits for one queued record and takes those queued behind it.
func (st *Stream) group(ctx context.Context) []pending {
	group := make([]pending, 0, 1)
	select {
	case <-ctx.Done():
		return nil
	case pe := <-st.pending:
		group = append(group, pe)
	}
	for len(group) < groupMax {
		select {
		case pe := <-st.pending:
			group = append(group, pe)
		default:
			return group
		}
	}
	return group
}
