package crash

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/stream"
)

const (
	streamName = "crash-reports"
	// appendTimeout is short because the request is held up until the record is appended.
	appendTimeout = 500 * time.Millisecond
	clearTimeout  = 5 * time.Second
)

// ErrProbeNotObtained means that another attempt has the probe of the request, that the request must
// not be probed, or that the log is unavailable.
var ErrProbeNotObtained = errors.New("crash: the attempt did not get the probe; come back later")

// Reports reads and appends to the stream of crash reports and probes.
type Reports struct {
	st    *stream.Stream
	table *poison.Table
	lg    zerolog.Logger
	// clears counts the ends of probes that are being appended.
	clears sync.WaitGroup
}

// NewReports returns Reports that have not read the stream yet. It calls seen with each new log
// time in Unix milliseconds.
func NewReports(lo stream.Log, seen func(int64), lg zerolog.Logger) *Reports {
	re := &Reports{table: &poison.Table{}, lg: lg}
	re.st = stream.NewStream(stream.Options{Name: streamName, Log: lo, Fold: re.table, OnLogTime: seen, Logger: lg})
	return re
}

// Run reads the stream and appends to it until the context ends.
func (re *Reports) Run(ctx context.Context) { re.st.Run(ctx) }

// Decide returns whether and how the request with the fingerprint may run.
func (re *Reports) Decide(fingerprint string) poison.Verdict {
	verdict := poison.Free
	re.st.WithLock(func() { verdict = re.table.Decide(fingerprint) })
	return verdict
}

// Report counts a crash on this node at once and appends the report to the log, so that the other
// nodes count it too. It waits up to appendTimeout for the log.
func (re *Reports) Report(ctx context.Context, cr record.CrashReport) {
	re.st.WithLock(func() { re.table.Report(&cr) })
	re.lg.Warn().Str("fingerprint", cr.Fingerprint).Str("crash", cr.Crash).Str("attempt", cr.Attempt).Msg("crash_reported")
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := re.st.Append(ctx, &record.Envelope{CrashReport: &cr}); err != nil {
		re.lg.Warn().Str("error", err.Error()).Msg("crash_report_not_appended")
	}
}

// Probe requests the probe, the one run that a request in quarantine is allowed, for an attempt. It
// returns ErrProbeNotGranted if the attempt did not get the probe.
func (re *Reports) Probe(ctx context.Context, pb record.Probe) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := re.st.Append(ctx, &record.Envelope{Probe: &pb}); err != nil {
		return ErrProbeNotObtained
	}
	gotProbe := false
	err := re.st.Await(ctx, func() bool {
		gotProbe = re.table.HoldsProbe(pb.Fingerprint, pb.Attempt)
		return gotProbe || re.table.Decide(pb.Fingerprint) != poison.Probe
	})
	if err != nil || !gotProbe {
		return ErrProbeNotObtained
	}
	return nil
}

// Clear ends a probe at which no engine crashed. The quarantine ends as well if the probe was
// answered and the request is not blocked. The record is appended in the background.
func (re *Reports) Clear(ctx context.Context, cl record.Clear) {
	re.clears.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, clearTimeout)
		defer cancel()
		if err := re.st.Append(ctx, &record.Envelope{Clear: &cl}); err != nil {
			re.lg.Warn().Str("error", err.Error()).Msg("quarantine_not_cleared")
		}
	})
}

// AwaitClears waits until the ends of probes that Clear has got are appended, or clearTimeout is over for each.
func (re *Reports) AwaitClears() { re.clears.Wait() }
