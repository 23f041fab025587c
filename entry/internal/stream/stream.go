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
	// pollWait is how long a read of the log waits for new records.
	pollWait          = 3 * time.Second
	retryDelay        = 200 * time.Millisecond
	maxGroupRecords   = 500
	maxPendingRecords = 4096
	// maxAnswerWait limits how long the next group waits for the log's answer to the last one.
	maxAnswerWait = 100 * time.Millisecond
	// maxAppendsInFlight limits the appends that the log has not answered.
	maxAppendsInFlight = 8
)

// Log reads and appends to the streams of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data [][]byte) error
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (plat.Page, error)
}

// Fold is a state that is built from the records of a stream, in their order. The stream calls its
// methods with its lock held.
type Fold interface {
	// Next returns the offset of the next record to apply.
	Next() int64
	// Restart resets the state and continues at the given offset, because the records before
	// it have expired.
	Restart(first int64)
	// Apply applies one record and returns the newest time of the records so far, in Unix
	// milliseconds.
	Apply(en record.LogRecord) int64
}

// Options configures a stream.
type Options struct {
	Name string
	Log  Log
	Fold Fold
	// OnLogTime is called after each record with the newest log time so far, in Unix milliseconds.
	OnLogTime func(int64)
	// MaxQuietTime is the time without a record after which an empty one is appended, so that
	// the stream always has a record that has not expired. Zero appends none.
	MaxQuietTime time.Duration
	Logger       zerolog.Logger
}

// pending is an encoded record that waits to be appended.
type pending struct {
	data   []byte
	result chan error
}

// Stream reads and appends to one stream of the log and keeps its Fold up to date.
type Stream struct {
	op      Options
	pending chan pending
	// received is when a record was last received, or an empty one queued. Only follow uses it.
	received time.Time

	mu sync.Mutex
	// changed is closed and replaced after each page of records.
	changed chan struct{}
	// caughtUp is true if the last read reached the end of the stream.
	caughtUp bool
}

// NewStream returns a stream that is not read until Run is called.
func NewStream(op Options) *Stream {
	return &Stream{op: op, pending: make(chan pending, maxPendingRecords), changed: make(chan struct{})}
}

// Run reads the stream and appends queued records until the context ends.
func (st *Stream) Run(ctx context.Context) {
	wg := sync.WaitGroup{}
	wg.Go(func() { st.follow(ctx) })
	wg.Go(func() { st.appendQueued(ctx) })
	wg.Wait()
}

// WithLock calls a function with the lock held and reports whether the last read reached the end of
// the stream.
func (st *Stream) WithLock(access func()) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	access()
	return st.caughtUp
}

// Await calls a function with the lock held, now and after each page of records, until it returns
// true or the context ends.
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
			return errors.Wrapf(ctx.Err(), "stream: wait for records of %s", st.op.Name)
		}
	}
}

// Append queues a record for the next group and waits for the result. The error
// plat.ErrNotAppended means that the record was not appended; it is also returned if the queue is
// full. After any other error the record may have been appended.
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

// follow reads the stream and applies its records until the context ends.
func (st *Stream) follow(ctx context.Context) {
	st.received = time.Now()
	for ctx.Err() == nil {
		err := st.readAndApply(ctx)
		if err == nil {
			continue
		}
		st.setCaughtUp(false)
		st.op.Logger.Warn().Str("stream", st.op.Name).Str("error", err.Error()).Msg("stream_unreadable")
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// setCaughtUp sets whether the last read reached the end of the stream.
func (st *Stream) setCaughtUp(caughtUp bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.caughtUp = caughtUp
}

// readAndApply reads one page and applies it. It waits for new records only if the last read
// reached the end of the stream.
func (st *Stream) readAndApply(ctx context.Context) error {
	st.mu.Lock()
	next, wait := st.op.Fold.Next(), pollWait
	if !st.caughtUp {
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
	st.applyPage(page)
	st.appendIfQuiet(ctx, len(page.LogRecords) > 0)
	return nil
}

// applyPage applies the records of a page and wakes the callers of Await.
func (st *Stream) applyPage(page plat.Page) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, en := range page.LogRecords {
		st.op.OnLogTime(st.op.Fold.Apply(en))
	}
	st.caughtUp = st.op.Fold.Next() >= page.Next
	close(st.changed)
	st.changed = make(chan struct{})
}

// appendIfQuiet appends an empty record if the stream has had none for MaxQuietTime.
func (st *Stream) appendIfQuiet(ctx context.Context, received bool) {
	if received {
		st.received = time.Now()
	}
	if st.op.MaxQuietTime == 0 || time.Since(st.received) < st.op.MaxQuietTime {
		return
	}
	st.received = time.Now()
	go func() { _ = st.Append(ctx, &record.Envelope{}) }()
}

// appendQueued appends queued records in groups until the context ends. The next group waits for
// the answer to the last one, but at most maxAnswerWait, so that a lost answer does not delay it.
func (st *Stream) appendQueued(ctx context.Context) {
	inFlight := make(chan struct{}, maxAppendsInFlight)
	for {
		group := st.group(ctx)
		if len(group) == 0 {
			return
		}
		inFlight <- struct{}{}
		done := make(chan struct{})
		go func() {
			defer func() { <-inFlight }()
			defer close(done)
			st.appendGroup(ctx, group)
		}()
		select {
		case <-done:
		case <-time.After(maxAnswerWait):
		}
	}
}

// appendGroup appends a group and sends the result to the caller of each record.
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

// group waits for a queued record and returns it with the records queued after it, or nil if the
// context ends first.
func (st *Stream) group(ctx context.Context) []pending {
	group := make([]pending, 0, 1)
	select {
	case <-ctx.Done():
		return nil
	case pe := <-st.pending:
		group = append(group, pe)
	}
	for len(group) < maxGroupRecords {
		select {
		case pe := <-st.pending:
			group = append(group, pe)
		default:
			return group
		}
	}
	return group
}
