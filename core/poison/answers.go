package poison

import (
	"slices"
	"time"
)

const (
	// answeredPartsMax bounds each of the two generations of parts whose last answer is remembered.
	answeredPartsMax = 4096
	// answerPeriod is the time for which a few answers are kept as examples.
	answerPeriod = 250 * time.Millisecond
	// answerPeriodsMax is the number of periods that are kept.
	answerPeriodsMax = 128
	// examplesMax is the number of examples in a period.
	examplesMax = 4
)

// answerLog remembers complete answers to requests by the parts of their prompts, in bounded memory. The
// zero value is empty.
type answerLog struct {
	// newer and older map parts to the time of their last answer. Once newer is full it becomes older,
	// so that the parts without answers for the longest time are forgotten.
	newer, older map[string]time.Time
	// periods are ordered by time.
	periods []answeredPeriod
}

// answeredPeriod holds the parts of a few requests that were answered in a period.
type answeredPeriod struct {
	start    time.Time
	examples [][]string
}

// add records an answer. The list of parts must not change afterwards.
func (al *answerLog) add(parts []string, at time.Time) {
	al.mark(parts, at)
	if count := len(al.periods); count == 0 || at.Sub(al.periods[count-1].start) >= answerPeriod {
		if count >= answerPeriodsMax {
			al.periods = slices.Delete(al.periods, 0, 1)
		}
		al.periods = append(al.periods, answeredPeriod{start: at})
	}
	ap := &al.periods[len(al.periods)-1]
	if len(ap.examples) < examplesMax && !slices.ContainsFunc(ap.examples, func(other []string) bool { return slices.Equal(other, parts) }) {
		ap.examples = append(ap.examples, parts)
	}
}

// mark records the time of an answer for its parts.
func (al *answerLog) mark(parts []string, at time.Time) {
	if al.newer == nil || len(al.newer) >= answeredPartsMax {
		al.newer, al.older = map[string]time.Time{}, al.newer
	}
	for _, part := range parts {
		if last, ok := al.last(part); !ok || last.Before(at) {
			al.newer[part] = at
		}
	}
}

// last returns the time of the last answer to a request with a part.
func (al *answerLog) last(part string) (time.Time, bool) {
	if at, ok := al.newer[part]; ok {
		return at, true
	}
	at, ok := al.older[part]
	return at, ok
}

// without reports whether a request without the part was answered between two times.
func (al *answerLog) without(part string, from, to time.Time) bool {
	for ix := range al.periods {
		ap := &al.periods[ix]
		if ap.start.Before(from) || ap.start.After(to) {
			continue
		}
		if slices.ContainsFunc(ap.examples, func(parts []string) bool { return !slices.Contains(parts, part) }) {
			return true
		}
	}
	return false
}
