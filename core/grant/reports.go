package grant

import (
	"slices"
	"time"
)

// observe compares the runs of a report with those of an earlier one. Without runs nothing is measured.
func (sp *speed) observe(runs []Run, now time.Time) {
	interval := now.Sub(sp.baseAt)
	if len(sp.base) > 0 && (interval < reportIntervalMin || sp.slow && interval < slowIntervalMin) {
		return
	}
	if len(sp.base) > 0 && interval <= reportIntervalMax && !sp.unseen && !sp.compare(runs, interval, now) {
		return
	}
	sp.setBase(runs, now)
}

// setBase keeps the runs for the next comparison.
func (sp *speed) setBase(runs []Run, now time.Time) {
	if sp.base == nil {
		sp.base = make(map[string]Run, len(runs))
	}
	clear(sp.base)
	clear(sp.fresh)
	for _, ru := range runs {
		sp.base[ru.ID] = ru
	}
	sp.baseAt, sp.unseen = now, false
}

// progress is what an engine has done between two reports.
type progress struct {
	// read is the number of prompt tokens that were prefilled.
	read int
	// reading is true if some prompt was read in a part of the time, and readThroughout if in all of it.
	reading, readThroughout bool
	// events is the median number of events that the streams have made which ran all the time.
	events int
}

// compare takes a sample of the prefill rate or of the event time. It is false if the next report has to be compared with
// the same one: a large piece of a prompt is being read, and a report shows only whole pieces.
func (sp *speed) compare(runs []Run, interval time.Duration, now time.Time) bool {
	pr, ok := sp.progress(runs)
	switch {
	case !ok:
	case !pr.reading && pr.events > 0:
		sp.addEventTime(pr.events, interval, now)
	case pr.read < speedSampleTokensMin && (pr.reading || pr.events == 0 && len(sp.paces) > 0):
		return false
	case pr.readThroughout && len(sp.paces) == 0:
		sp.addReported(rateSample{pr.read, time.Duration(unclockedShare * float64(interval))}, now)
	case pr.readThroughout:
		sp.addReported(rateSample{pr.read, interval - time.Duration(pr.events)*eventTimeAllowance}, now)
	case pr.read >= speedSampleTokensMin && pr.events > 0 && sp.eventSamples > 0:
		sp.addReported(rateSample{pr.read, interval - time.Duration(pr.events)*max(eventTimeAllowance, sp.eventTime)}, now)
	}
	return true
}

// progress returns what the engine has done since the base report. It is false if the reports do not show all
// prompts that were read: one is missing, or the engine has dropped tokens of a run from its memory.
func (sp *speed) progress(runs []Run) (progress, bool) {
	pr := progress{}
	sp.paces = sp.paces[:0]
	unread := 0
	for _, ru := range runs {
		before, known := sp.base[ru.ID]
		made, grown := ru.Events-before.Events, ru.Tokens-before.Tokens
		if made < 0 || grown < 0 {
			return pr, false
		}
		pr.reading = pr.reading || before.Events == 0
		pr.readThroughout = pr.readThroughout || known && ru.Events == 0
		pr.read += max(0, grown-tokensPerEventMax*(made+1))
		if before.Events > 0 {
			sp.paces = append(sp.paces, made)
		} else if known {
			unread++
		}
	}
	for _, ru := range sp.base {
		if ru.Events == 0 {
			unread--
		}
	}
	if len(sp.paces) > 0 {
		slices.Sort(sp.paces)
		pr.events = sp.paces[len(sp.paces)/2]
	}
	return pr, unread == 0
}
