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
	"github.com/bambooladder/bambooladder/entry/internal/stream"
)

const (
	streamPrefix = "claims-"
	tickPeriod   = 10 * time.Minute
	claimTimeout = 2 * time.Second
	comeBack     = time.Second
)

// Claims holds the claim streams.
type Claims struct {
	lg      zerolog.Logger
	streams [claim.StreamCount]*stream.Stream
	folds   [claim.StreamCount]*claimFold
}

// NewClaims returns claims that know nothing yet; seen takes each new log time in
// Unix milliseconds, jitter gives numbers from 0 to 1.
func NewClaims(lo stream.Log, seen func(int64), jitter func() float64, lg zerolog.Logger) *Claims {
	cs := &Claims{lg: lg}
	for ix := range cs.streams {
		cs.folds[ix] = &claimFold{table: claim.NewTable(0), lost: map[string]error{}, lg: lg}
		cs.streams[ix] = stream.NewStream(stream.Options{
			Name: streamPrefix + strconv.Itoa(ix), Log: lo, Fold: cs.folds[ix], Seen: seen,
			TickAfter: time.Duration(float64(tickPeriod) * (1 + jitter())), Logger: lg,
		})
	}
	return cs
}

// Run follows the streams until the context ends.
func (cs *Claims) Run(ctx context.Context) {
	wg := sync.WaitGroup{}
	for _, st := range cs.streams {
		wg.Go(func() { st.Run(ctx) })
	}
	wg.Wait()
}

// of returns the stream of a key with its fold.
func (cs *Claims) of(key string) (*stream.Stream, *claimFold) {
	ix := claim.StreamOf(key)
	return cs.streams[ix], cs.folds[ix]
}

// unavailable is the answer while claims cannot be read or appended.
func unavailable() *fault.Error {
	return fault.New(fault.Unavailable, "the platform's log is away, so calls that must not be repeated cannot run",
		"send the call again with the same key").WithRetryAfter(comeBack)
}

// Decide returns what to do with a call; it fails at once while the log is away.
func (cs *Claims) Decide(ca claim.Call) (claim.Verdict, *claim.Holder, error) {
	st, fo := cs.of(ca.Key)
	verdict, holder := claim.Append, (*claim.Holder)(nil)
	var err error
	current := st.With(func() {
		var ho *claim.Holder
		if verdict, ho, err = fo.table.Decide(ca); ho != nil {
			cp := *ho
			holder = &cp
		}
	})
	if !current {
		return claim.Append, nil, unavailable()
	}
	return verdict, holder, err
}

// Claim appends a claim and returns the log time at which it won, or false where another claim holds the key.
func (cs *Claims) Claim(ctx context.Context, cl record.Claim) (int64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	st, fo := cs.of(cl.Key)
	appendOrCancel(ctx, cancel, st, &record.Envelope{Claim: &cl})
	at, won := int64(0), false
	var reason error
	err := st.Await(ctx, func() bool {
		var known bool
		at, won, known, reason = fo.outcome(cl)
		return known
	})
	if err != nil {
		return 0, false, unavailable()
	}
	return at, won, reason
}

// appendOrCancel appends in the background, so that a record whose answer is lost is
// read back at once, and ends the wait where the log refuses it.
func appendOrCancel(ctx context.Context, cancel context.CancelFunc, st *stream.Stream, en *record.Envelope) {
	go func() {
		if errors.Is(st.Append(ctx, en), plat.ErrNotAppended) {
			cancel()
		}
	}()
}

// Release frees a key whose attempt has not run and will not run.
func (cs *Claims) Release(ctx context.Context, re record.Release) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	st, fo := cs.of(re.Key)
	appendOrCancel(ctx, cancel, st, &record.Envelope{Release: &re})
	err := st.Await(ctx, func() bool {
		ho := fo.table.Holder(re.Key)
		return ho == nil || ho.Claim.Attempt != re.Attempt
	})
	if err != nil {
		return unavailable()
	}
	return nil
}

// Done keeps the answer of an attempt; it is appended in the background.
func (cs *Claims) Done(ctx context.Context, do record.Done) {
	st, _ := cs.of(do.Key)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		if err := st.Append(ctx, &record.Envelope{Done: &do}); err != nil {
			cs.lg.Warn().Str("attempt", do.Attempt).Str("error", err.Error()).Msg("answer_not_kept")
		}
	}()
}
