package guards

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/guard"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/stream"
)

const (
	streamName    = "guard"
	appendTimeout = 500 * time.Millisecond
	clearTimeout  = 5 * time.Second
)

// ErrTrialTaken means that another attempt is on trial or that the log is away.
var ErrTrialTaken = errors.New("guards: the trial was not granted; come back later")

// Guards follows the stream of verdicts.
type Guards struct {
	st    *stream.Stream
	table *guard.Table
	lg    zerolog.Logger
}

// NewGuards returns guards that know nothing yet; seen takes each new log time in Unix milliseconds.
func NewGuards(lo stream.Log, seen func(int64), lg zerolog.Logger) *Guards {
	gs := &Guards{table: &guard.Table{}, lg: lg}
	gs.st = stream.NewStream(stream.Options{Name: streamName, Log: lo, Fold: gs.table, Seen: seen, Logger: lg})
	return gs
}

// Run follows the stream until the context ends.
func (gs *Guards) Run(ctx context.Context) { gs.st.Run(ctx) }

// Decide returns what may be done with a request.
func (gs *Guards) Decide(fingerprint string) guard.Verdict {
	verdict := guard.Free
	gs.st.With(func() { verdict = gs.table.Decide(fingerprint) })
	return verdict
}

// Strike counts a crash here at once and shares it; it waits a short time for the log.
func (gs *Guards) Strike(ctx context.Context, sr record.Strike) {
	gs.st.With(func() { gs.table.Strike(&sr) })
	gs.lg.Warn().Str("fingerprint", sr.Fingerprint).Str("crash", sr.Crash).Str("attempt", sr.Attempt).Msg("crash_suspected")
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := gs.st.Append(ctx, &record.Envelope{Strike: &sr}); err != nil {
		gs.lg.Warn().Str("error", err.Error()).Msg("crash_not_shared")
	}
}

// Trial reserves the one run of a suspect, or fails with ErrTrialTaken.
func (gs *Guards) Trial(ctx context.Context, tr record.Trial) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := gs.st.Append(ctx, &record.Envelope{Trial: &tr}); err != nil {
		return ErrTrialTaken
	}
	granted := false
	err := gs.st.Await(ctx, func() bool {
		granted = gs.table.OnTrial(tr.Fingerprint, tr.Attempt)
		return granted || gs.table.Decide(tr.Fingerprint) != guard.Trial
	})
	if err != nil || !granted {
		return ErrTrialTaken
	}
	return nil
}

// Clear frees a suspect whose trial ended without a crash; it is appended in the background.
func (gs *Guards) Clear(ctx context.Context, cl record.Clear) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, clearTimeout)
		defer cancel()
		if err := gs.st.Append(ctx, &record.Envelope{Clear: &cl}); err != nil {
			gs.lg.Warn().Str("error", err.Error()).Msg("suspect_not_cleared")
		}
	}()
}
