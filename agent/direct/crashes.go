package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/wire"
)

// crashesMax bounds the crash reports that are kept for entry nodes that connect later.
const crashesMax = 256

// passedCrash is a crash report with the time of the crash.
type passedCrash struct {
	report  wire.CrashReport
	crashed time.Time
}

// passCrash passes an entry node's crash report on to all others and keeps it.
func (br *Broker) passCrash(ctx context.Context, from *session, re *wire.CrashReport, now time.Time) {
	br.lg.Info().Str("server", re.Server).Int64("born", re.Born).Str("entry", from.name).Strs("fingerprints", re.Fingerprints).Msg("crash_report_passed")
	pc := passedCrash{report: *re, crashed: now.Add(-time.Duration(re.Age) * time.Millisecond)}
	br.crashes = append(br.crashes, pc)
	if len(br.crashes) > crashesMax {
		br.crashes = br.crashes[1:]
	}
	for name, se := range br.sessions {
		if se != from {
			br.send(ctx, name, pc.frame(now))
		}
	}
}

// sendCrashes sends the kept crash reports to an entry node that has just connected.
func (br *Broker) sendCrashes(ctx context.Context, se *session, now time.Time) {
	for ix := range br.crashes {
		if now.Sub(br.crashes[ix].crashed) <= poison.Retention {
			br.send(ctx, se.name, br.crashes[ix].frame(now))
		}
	}
}

// frame returns the frame that passes the report on.
func (pc *passedCrash) frame(now time.Time) *wire.Frame {
	re := pc.report
	re.Age = now.Sub(pc.crashed).Milliseconds()
	return &wire.Frame{CrashReport: &re}
}
