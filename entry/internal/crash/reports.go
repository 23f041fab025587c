package crash

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/stream"
)

const (
	streamName    = "crash-reports"
	appendTimeout = 500 * time.Millisecond
	clearTimeout  = 5 * time.Second
)

// ErrProbeTaken means that another attempt is on probe or that the log is away.
var ErrProbeTaken = errors.New("crash: the probe was not granted; come back later")

// Reports follows the stream of verdicts.
type Reports struct {
	st    *stream.Stream
	table *poison.Table
	lg    zerolog.Logger
}

// NewReports returns reports that know nothing yet; seen takes each new log time in Unix milliseconds.
func NewReports(lo stream.Log, seen func(int64), lg zerolog.Logger) *Reports {
	re := &Reports{table: &poison.Table{}, lg: lg}
	re.st = stream.NewStream(stream.Options{Name: streamName, Log: lo, Fold: re.table, Seen: seen, Logger: lg})
	return re
}

// Run follows the stream until the context ends.
func (re *Reports) Run(ctx context.Context) { re.st.Run(ctx) }

// Decide returns what may be done with a request.
func (re *Reports) Decide(fingerprint string) poison.Verdict {
	verdict := poison.Free
	re.st.With(func() { verdict = re.table.Decide(fingerprint) })
	return verdict
}

// Report counts a crash here at once and shares it; it waits a short time for the log.
func (re *Reports) Report(ctx context.Context, cr record.CrashReport) {
	re.st.With(func() { re.table.Report(&cr) })
	re.lg.Warn().Str("fingerprint", cr.Fingerprint).Str("crash", cr.Crash).Str("attempt", cr.Attempt).Msg("crash_reported")
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := re.st.Append(ctx, &record.Envelope{CrashReport: &cr}); err != nil {
		re.lg.Warn().Str("error", err.Error()).Msg("crash_not_shared")
	}
}

// Probe reserves the one run of a request in quarantine, or fails with ErrProbeTaken.
func (re *Reports) Probe(ctx context.Context, pb record.Probe) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := re.st.Append(ctx, &record.Envelope{Probe: &pb}); err != nil {
		return ErrProbeTaken
	}
	granted := false
	err := re.st.Await(ctx, func() bool {
		granted = re.table.HoldsProbe(pb.Fingerprint, pb.Attempt)
		return granted || re.table.Decide(pb.Fingerprint) != poison.Probe
	})
	if err != nil || !granted {
		return ErrProbeTaken
	}
	return nil
}

// Clear frees a request whose probe ended without a crash; it is appended in the background.
func (re *Reports) Clear(ctx context.Context, cl record.Clear) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, clearTimeout)
		defer cancel()
		if err := re.st.Append(ctx, &record.Envelope{Clear: &cl}); err != nil {
			re.lg.Warn().Str("error", err.Error()).Msg("quarantine_not_cleared")
		}
	}()
}
