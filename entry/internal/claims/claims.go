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
	// minQuietTime is the least MaxQuietTime of a claim stream. That of each stream is drawn at
	// random from one to two times this value.
	minQuietTime = 10 * time.Minute
	claimTimeout = 2 * time.Second
	// unavailableRetryAfter is the suggested wait after a refusal because the log is unavailable.
	unavailableRetryAfter = time.Second
)

// Claims reads and appends to the claim streams.
type Claims struct {
	lg      zerolog.Logger
	streams [claim.StreamCount]*stream.Stream
	states  [claim.StreamCount]*claimState
	// dones counts the ends of attempts that are being appended.
	dones sync.WaitGroup
}

// NewClaims returns Claims that have not read the streams yet. It calls seen with each new log
// time in Unix milliseconds. jitter returns random numbers in [0, 1).
func NewClaims(lo stream.Log, seen func(int64), jitter func() float64, lg zerolog.Logger) *Claims {
	cs := &Claims{lg: lg}
	for ix := range cs.streams {
		cs.states[ix] = &claimState{table: claim.NewTable(0), lost: map[string]error{}, lg: lg}
		cs.streams[ix] = stream.NewStream(stream.Options{
			Name: streamPrefix + strconv.Itoa(ix), Log: lo, Fold: cs.states[ix], OnLogTime: seen,
			MaxQuietTime: time.Duration(float64(minQuietTime) * (1 + jitter())), Logger: lg,
		})
	}
	return cs
}

// Run reads the streams and appends to them until the context ends.
func (cs *Claims) Run(ctx context.Context) {
	wg := sync.WaitGroup{}
	for _, st := range cs.streams {
		wg.Go(func() { st.Run(ctx) })
	}
	wg.Wait()
}

// streamFor returns the stream for a key and its state.
func (cs *Claims) streamFor(key string) (*stream.Stream, *claimState) {
	ix := claim.StreamOf(key)
	return cs.streams[ix], cs.states[ix]
}

// unavailableError returns the error for a call while claims cannot be read or appended.
func unavailableError() *fault.Error {
	return fault.New(fault.Unavailable, "the platform's log is away, so calls that must not be repeated cannot run",
		"send the call again with the same key").WithRetryAfter(unavailableRetryAfter)
}

// Decide returns what to do with a call and a copy of the holder of its key. It returns an error
// at once if the call is refused or the stream has not been read to its end.
func (cs *Claims) Decide(ca claim.Call) (claim.Verdict, *claim.Holder, error) {
	st, cst := cs.streamFor(ca.Key)
	verdict, holder := claim.Append, (*claim.Holder)(nil)
	var err error
	current := st.WithLock(func() {
		var ho *claim.Holder
		if verdict, ho, err = cst.table.Decide(ca); ho != nil {
			cp := *ho
			holder = &cp
		}
	})
	if !current {
		return claim.Append, nil, unavailableError()
	}
	return verdict, holder, err
}

// Claim appends a claim and waits until it is read back. It returns the log time of the claim in
// Unix milliseconds and true if the claim won its key, or false if another claim holds the key.
// It returns an error if no claim can win the key or the log is unavailable.
func (cs *Claims) Claim(ctx context.Context, cl record.Claim) (int64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	st, cst := cs.streamFor(cl.Key)
	appendOrCancel(ctx, cancel, st, &record.Envelope{Claim: &cl})
	claimedAt, won := int64(0), false
	var keyErr error
	err := st.Await(ctx, func() bool {
		var known bool
		claimedAt, won, known, keyErr = cst.outcome(cl)
		return known
	})
	if err != nil {
		return 0, false, unavailableError()
	}
	return claimedAt, won, keyErr
}

// appendOrCancel appends a record in the background and cancels ctx if the log refuses it. The
// caller waits for the record to be read back rather than for the log's response, which may be
// lost.
func appendOrCancel(ctx context.Context, cancel context.CancelFunc, st *stream.Stream, en *record.Envelope) {
	go func() {
		if errors.Is(st.Append(ctx, en), plat.ErrNotAppended) {
			cancel()
		}
	}()
}

// Release appends a record that releases the key of an attempt that has not run and will not run,
// and waits until the attempt no longer holds the key.
func (cs *Claims) Release(ctx context.Context, re record.Release) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	st, cst := cs.streamFor(re.Key)
	appendOrCancel(ctx, cancel, st, &record.Envelope{Release: &re})
	err := st.Await(ctx, func() bool {
		ho := cst.table.Holder(re.Key)
		return ho == nil || ho.Claim.Attempt != re.Attempt
	})
	if err != nil {
		return unavailableError()
	}
	return nil
}

// Done appends the end of an attempt in the background, with its answer if that is kept, so that
// it can be sent again.
func (cs *Claims) Done(ctx context.Context, do record.Done) {
	st, _ := cs.streamFor(do.Key)
	cs.dones.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		if err := st.Append(ctx, &record.Envelope{Done: &do}); err != nil {
			cs.lg.Warn().Str("attempt", do.Attempt).Str("error", err.Error()).Msg("answer_not_recorded")
		}
	})
}

// AwaitDones waits until the ends of attempts that Done has got are appended, or claimTimeout is over for each.
func (cs *Claims) AwaitDones() { cs.dones.Wait() }
