package poison

import (
	"slices"
	"time"
)

const (
	// sameCauseTime is the time in which several crashes count as one, as a rack or a zone may have
	// lost its power.
	sameCauseTime = 250 * time.Millisecond
	// partCrashesMax bounds the crashes that are remembered.
	partCrashesMax = 256
)

// Parts decides which parts of prompts crash the backend servers that begin to answer a request with
// them. A crash speaks against all parts that were in flight; a complete answer clears the parts of its
// request; a crash with a part that is already refused hardly speaks against others. Nothing is refused
// unless requests without the part were answered between its crashes: else there is no telling the part
// from an outage of all servers. As crashes for another reason may still look like those of a part, a
// refused part gets probes: single requests that are let through. The zero value is empty.
type Parts struct {
	// crashes are ordered by time.
	crashes []partCrash
	answers answerLog
	blocked map[string]*blockedPart
}

// partCrash is a crash with the parts that were in flight, in the order of the prompts.
type partCrash struct {
	run   Run
	at    time.Time
	parts []string
}

// Crashed counts a crash and returns the parts that are refused from now on. A crash that was counted
// before is completed by further parts.
func (pa *Parts) Crashed(cr Crash, now time.Time) []string {
	pa.prune(now)
	if now.Sub(cr.At) > Retention || len(cr.Parts) == 0 {
		return nil
	}
	parts := pa.add(cr)
	for _, part := range parts {
		if bp := pa.blocked[part]; bp != nil && bp.lastCrashAt.Before(cr.At) {
			bp.lastCrashAt = cr.At
		}
	}
	return pa.blockConclusive(parts, now)
}

// add stores a crash or completes a stored one, and returns all parts that were in flight.
func (pa *Parts) add(cr Crash) []string {
	for ix := range pa.crashes {
		pc := &pa.crashes[ix]
		if pc.run == cr.Run {
			pc.parts = union(pc.parts, cr.Parts)
			return pc.parts
		}
	}
	if len(pa.crashes) >= partCrashesMax {
		pa.crashes = slices.Delete(pa.crashes, 0, 1)
	}
	ix, _ := slices.BinarySearchFunc(pa.crashes, cr.At, func(pc partCrash, at time.Time) int { return pc.at.Compare(at) })
	parts := union(nil, cr.Parts)
	pa.crashes = slices.Insert(pa.crashes, ix, partCrash{run: cr.Run, at: cr.At, parts: parts})
	return parts
}

// union appends the parts that a list lacks.
func union(list, parts []string) []string {
	for _, part := range parts {
		if !slices.Contains(list, part) {
			list = append(list, part)
		}
	}
	return list
}

// blockConclusive blocks the most suspect one of the parts as long as the evidence against one of them is
// conclusive, and returns those. Each one explains crashes that then no longer speak against the others.
func (pa *Parts) blockConclusive(parts []string, now time.Time) []string {
	list := []string(nil)
	for {
		worst, worstEvidence := "", partEvidence{}
		for _, part := range parts {
			if pe := pa.evidenceAgainst(part); pe.conclusive && !pe.weakerThan(worstEvidence) {
				worst, worstEvidence = part, pe
			}
		}
		if worst == "" {
			return list
		}
		bp := pa.block(worst, worstEvidence.last)
		bp.probeDelay = firstProbeDelay
		if worstEvidence.answered {
			bp.probeDelay = answeredProbeDelay
		}
		bp.probeAt = now.Add(bp.probeDelay)
		list = append(list, worst)
	}
}

// Answered records that a server has answered a request with these parts completely, and returns those
// that were suspect until now.
func (pa *Parts) Answered(parts []string, at time.Time) []string {
	if len(parts) == 0 {
		return nil
	}
	suspect := pa.clear(parts, at)
	pa.answers.add(parts, at)
	return suspect
}

// ReportedSound records that another entry node has got a complete answer at the given time to requests
// with these parts.
func (pa *Parts) ReportedSound(parts []string, at time.Time) {
	pa.clear(parts, at)
	pa.answers.mark(parts, at)
}

// clear allows parts again of which the last crash was before an answer, and returns all parts that were
// in flight at crashes between their last two answers.
func (pa *Parts) clear(parts []string, at time.Time) []string {
	if len(pa.crashes) == 0 && len(pa.blocked) == 0 {
		return nil
	}
	suspect := []string(nil)
	for _, part := range parts {
		bp := pa.blocked[part]
		if bp != nil && !at.Before(bp.lastCrashAt) {
			delete(pa.blocked, part)
		}
		if bp != nil || pa.crashedSinceAnswer(part) {
			suspect = append(suspect, part)
		}
	}
	return suspect
}

// crashedSinceAnswer reports whether a part was in flight at a crash after its last answer.
func (pa *Parts) crashedSinceAnswer(part string) bool {
	answeredAt, _ := pa.answers.last(part)
	for ix := len(pa.crashes) - 1; ix >= 0 && pa.crashes[ix].at.After(answeredAt); ix-- {
		if slices.Contains(pa.crashes[ix].parts, part) {
			return true
		}
	}
	return false
}

// prune forgets what is too old to count.
func (pa *Parts) prune(now time.Time) {
	pa.crashes = slices.DeleteFunc(pa.crashes, func(pc partCrash) bool { return now.Sub(pc.at) > Retention })
	for part, bp := range pa.blocked {
		if now.Sub(bp.lastCrashAt) > Retention {
			delete(pa.blocked, part)
		}
	}
}
