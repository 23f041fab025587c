package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/wire"
)

// reportsMax bounds the reports of each kind that are kept for entry nodes that connect later.
const reportsMax = 256

// passedReport is a report that was passed on, with the time of what it tells of.
type passedReport struct {
	// frame holds the report with its age when it arrived.
	frame wire.Frame
	at    time.Time
}

// passCrash passes an entry node's crash report on to all others and keeps it.
func (br *Broker) passCrash(ctx context.Context, from *session, re *wire.CrashReport, now time.Time) {
	br.lg.Info().Str("server", re.Server).Int64("born", re.Born).Str("entry", from.name).Strs("fingerprints", re.Fingerprints).
		Strs("parts", re.Parts).Msg("crash_report_passed")
	pr := passedReport{frame: wire.Frame{CrashReport: re}, at: now.Add(-time.Duration(re.Age) * time.Millisecond)}
	br.crashes = appendBounded(br.crashes, pr)
	br.passReport(ctx, from, &pr, now)
}

// passParts passes an entry node's report of parts on to all others and keeps it.
func (br *Broker) passParts(ctx context.Context, from *session, re *wire.PartReport, now time.Time) {
	br.lg.Info().Strs("parts", re.Parts).Bool("sound", re.Sound).Str("entry", from.name).Msg("part_report_passed")
	pr := passedReport{frame: wire.Frame{PartReport: re}, at: now.Add(-time.Duration(re.Age) * time.Millisecond)}
	br.parts = appendBounded(br.parts, pr)
	br.passReport(ctx, from, &pr, now)
}

// appendBounded appends a report and drops the oldest one beyond reportsMax.
func appendBounded(list []passedReport, pr passedReport) []passedReport {
	list = append(list, pr)
	if len(list) > reportsMax {
		return list[1:]
	}
	return list
}

// passReport sends a report to all entry nodes but the one that it comes from.
func (br *Broker) passReport(ctx context.Context, from *session, pr *passedReport, now time.Time) {
	for name, se := range br.sessions {
		if se != from {
			br.send(ctx, name, pr.aged(now))
		}
	}
}

// sendReports sends the kept reports to an entry node that has just connected.
func (br *Broker) sendReports(ctx context.Context, se *session, now time.Time) {
	for _, list := range [...][]passedReport{br.crashes, br.parts} {
		for ix := range list {
			if now.Sub(list[ix].at) <= poison.Retention {
				br.send(ctx, se.name, list[ix].aged(now))
			}
		}
	}
}

// aged returns the frame that passes the report on, with its age as of now.
func (pr *passedReport) aged(now time.Time) *wire.Frame {
	age := now.Sub(pr.at).Milliseconds()
	if pr.frame.CrashReport != nil {
		re := *pr.frame.CrashReport
		re.Age = age
		return &wire.Frame{CrashReport: &re}
	}
	re := *pr.frame.PartReport
	re.Age = age
	return &wire.Frame{PartReport: &re}
}
