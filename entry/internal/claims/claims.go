package claims

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/claim"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/plat"
)

const (
	streamPrefix = "claims-"
	pollWait     = 3 * time.Second
	tickPeriod   = 10 * time.Minute
	retryWait    = 200 * time.Millisecond
	groupMax     = 500
	pendingMax   = 4096
	claimTimeout = 2 * time.Second
	comeBack     = time.Second
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data [][]byte) error
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (plat.Page, error)
}

// pending is a record that waits for its append.
type pending struct {
	data   []byte
	result chan error
}

// stream is one claim stream with its fold.
type stream struct {
	name    string
	log     Log
	lg      zerolog.Logger
	pending chan pending

	mu    sync.Mutex
	table *claim.Table
	// lost holds the claims that did not win, each with the reason or nil.
	lost    map[string]error
	changed chan struct{}
	// current is true while the fold has read to the end of the stream.
	current bool

	// heard is when the last record was read; after tickAfter without one an empty
	// record is appended, so that the stream never expires whole.
	heard     time.Time
	tickAfter time.Duration
}

// Claims holds the claim streams.
type Claims struct {
	lg      zerolog.Logger
	seen    func(int64)
	streams [claim.Streams]*stream
}

// NewClaims returns claims that know nothing yet; seen takes each new log time in
// Unix milliseconds, jitter gives numbers from 0 to 1.
func NewClaims(lo Log, seen func(int64), jitter func() float64, lg zerolog.Logger) *Claims {
	cs := &Claims{lg: lg, seen: seen}
	for ix := range cs.streams {
		cs.streams[ix] = &stream{
			name: streamPrefix + strconv.Itoa(ix), log: lo, lg: lg, table: claim.Start(0),
			pending: make(chan pending, pendingMax), lost: map[string]error{}, changed: make(chan struct{}),
			tickAfter: time.Duration(float64(tickPeriod) * (1 + jitter())),
		}
	}
	return cs
}

// Run follows the streams until the context ends.
func (cs *Claims) Run(ctx context.Context) {
	wg := sync.WaitGroup{}
	for _, st := range cs.streams {
		wg.Go(func() { st.follow(ctx, cs.seen) })
		wg.Go(func() { st.commit(ctx) })
	}
	wg.Wait()
}

// streamOf returns the stream of a key.
func (cs *Claims) streamOf(key string) *stream {
	return cs.streams[claim.StreamOf(key)]
}

// unavailable is the answer while claims cannot be read or appended.
func unavailable() *fault.Error {
	return fault.New(fault.Unavailable, "the platform's log is away, so calls that must not be repeated cannot run",
		"send the call again with the same key").WithRetryAfter(comeBack)
}

// Decide returns what to do with a call; it fails at once while the log is away.
func (cs *Claims) Decide(ca claim.Call) (claim.Verdict, *claim.Holder, error) {
	st := cs.streamOf(ca.Key)
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.current {
		return claim.Append, nil, unavailable()
	}
	verdict, ho, err := st.table.Decide(ca)
	if ho != nil {
		cp := *ho
		ho = &cp
	}
	return verdict, ho, err
}

// Claim appends a claim and returns the log time at which it won, or false where another claim holds the key.
func (cs *Claims) Claim(ctx context.Context, cl record.Claim) (int64, bool, error) {
	st := cs.streamOf(cl.Key)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := st.append(ctx, &record.Envelope{Claim: &cl}); errors.Is(err, plat.ErrNotAppended) {
		return 0, false, unavailable()
	}
	at, won, err := st.await(ctx, cl)
	fe := &fault.Error{}
	if err != nil && !errors.As(err, &fe) {
		err = unavailable()
	}
	return at, won, err
}

// Release frees a key whose attempt has not run and will not run.
func (cs *Claims) Release(ctx context.Context, re record.Release) error {
	st := cs.streamOf(re.Key)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := st.append(ctx, &record.Envelope{Release: &re}); err != nil {
		return unavailable()
	}
	return st.awaitFree(ctx, re)
}

// Done keeps the answer of an attempt; it is appended in the background.
func (cs *Claims) Done(ctx context.Context, do record.Done) {
	st := cs.streamOf(do.Key)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		if err := st.append(ctx, &record.Envelope{Done: &do}); err != nil {
			cs.lg.Warn().Str("attempt", do.Attempt).Str("error", err.Error()).Msg("answer_not_kept")
		}
	}()
}

// append queues a record for the next group and waits for the result.
func (st *stream) append(ctx context.Context, en *record.Envelope) error {
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
		return errors.Wrap(ctx.Err(), "claims: append")
	}
}

// commit appends queued records in groups, one append at a time.
func (st *stream) commit(ctx context.Context) {
	for {
		group := st.group(ctx)
		if len(group) == 0 {
			return
		}
		data := make([][]byte, 0, len(group))
		for _, pe := range group {
			data = append(data, pe.data)
		}
		err := st.log.Append(ctx, st.name, data)
		for _, pe := range group {
			pe.result <- err
		}
	}
}

// group waits for one queued record and takes those queued behind it.
func (st *stream) group(ctx context.Context) []pending {
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

// await waits until the fold has seen a claim.
func (st *stream) await(ctx context.Context, cl record.Claim) (int64, bool, error) {
	for {
		st.mu.Lock()
		ho := st.table.Holder(cl.Key)
		reason, lost := st.lost[cl.Attempt]
		changed := st.changed
		delete(st.lost, cl.Attempt)
		st.mu.Unlock()
		if ho != nil && ho.Claim.Attempt == cl.Attempt {
			return ho.At, true, nil
		}
		if lost {
			return 0, false, reason
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, false, errors.Wrap(ctx.Err(), "claims: read back")
		}
	}
}

// awaitFree waits until the fold shows that an attempt holds its key no more.
func (st *stream) awaitFree(ctx context.Context, re record.Release) error {
	for {
		st.mu.Lock()
		ho := st.table.Holder(re.Key)
		changed := st.changed
		st.mu.Unlock()
		if ho == nil || ho.Claim.Attempt != re.Attempt {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return unavailable()
		}
	}
}
