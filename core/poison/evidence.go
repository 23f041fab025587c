package poison

import (
	"slices"
	"time"
)

// Numbers of crashes at which a part of prompts is refused: PartCrashes if it was never answered before.
// If many servers crashed without the part meanwhile, it may have been in flight by chance, so that more
// are needed.
const (
	PartCrashes             = 3
	partCrashesAmongOthers  = 5
	answeredPartCrashes     = 6
	answeredPartAmongOthers = 10
	// unexplainedMin is the number of crashes without a part that is refused already from which on those
	// with one count too, as the wrong part may be refused.
	unexplainedMin = 2
	// similarPartFactor times the crashes with another part must not exceed those with a part that was answered
	// before.
	similarPartFactor = 4.0 / 3
	// otherCrashesFactor times the crashes without the part must not exceed those with it.
	otherCrashesFactor = 3
)

// partEvidence is what speaks against a part.
type partEvidence struct {
	// crashes counts those since the last answer, explained those of them at which a refused part was in
	// flight too, and others those without the part between the first and the last of them.
	crashes, explained, others int
	first, last                time.Time
	// answered is true if the part has been in an answered request before.
	answered   bool
	conclusive bool
}

// weakerThan reports whether less speaks against the part than against another one.
func (pe partEvidence) weakerThan(other partEvidence) bool {
	switch {
	case !other.conclusive:
		return false
	case pe.answered != other.answered:
		return pe.answered
	}
	return pe.crashes < other.crashes
}

// needed returns the number of crashes at which the part is refused.
func (pe partEvidence) needed() int {
	amongOthers := otherCrashesFactor*pe.others > pe.crashes
	switch {
	case pe.answered && amongOthers:
		return answeredPartAmongOthers
	case pe.answered:
		return answeredPartCrashes
	case amongOthers:
		return partCrashesAmongOthers
	}
	return PartCrashes
}

// evidenceAgainst returns what speaks against a part that is not refused yet.
func (pa *Parts) evidenceAgainst(part string) partEvidence {
	if pa.blocked[part] != nil {
		return partEvidence{}
	}
	pe := pa.countCrashes(part)
	pe.conclusive = pe.crashes >= pe.needed() && pa.answers.without(part, pe.first, pe.last) && (!pe.answered || pa.standsOut(part, pe))
	return pe
}

// standsOut reports whether no other part was in flight at nearly as many crashes since its last answer. If
// one was, too little is answered to tell the parts apart. A part of all requests does not count.
func (pa *Parts) standsOut(part string, pe partEvidence) bool {
	seen := map[string]bool{part: true}
	for ix := range pa.crashes {
		for _, other := range pa.crashes[ix].parts {
			if seen[other] {
				continue
			}
			seen[other] = true
			similar := pa.countCrashes(other)
			if similarPartFactor*float64(similar.crashes) > float64(pe.crashes) && pa.answers.without(other, similar.first, similar.last) {
				return false
			}
		}
	}
	return true
}

// countCrashes counts the crashes since the last answer that speak against a part.
func (pa *Parts) countCrashes(part string) partEvidence {
	answeredAt, answered := pa.answers.last(part)
	pe := partEvidence{answered: answered}
	countedAt, otherAt, others := time.Time{}, time.Time{}, 0
	for ix := range pa.crashes {
		pc := &pa.crashes[ix]
		if !pc.at.After(answeredAt) {
			continue
		}
		found, explained := slices.Contains(pc.parts, part), pa.explained(pc)
		switch {
		case !found && !explained && pe.crashes > 0 && pc.at.Sub(otherAt) >= sameCauseTime:
			others++
			otherAt = pc.at
		case found && pc.at.Sub(countedAt) >= sameCauseTime:
			pe = pe.withCrash(pc.at, explained, others)
			countedAt = pc.at
		}
	}
	if pe.crashes-pe.explained < unexplainedMin {
		pe.crashes -= pe.explained
	}
	return pe
}

// withCrash returns the case with one more crash after others without the part.
func (pe partEvidence) withCrash(at time.Time, explained bool, others int) partEvidence {
	if pe.crashes == 0 {
		pe.first = at
	}
	pe.crashes++
	if explained {
		pe.explained++
	}
	pe.last, pe.others = at, others
	return pe
}

// explained reports whether a part that is refused was in flight at a crash.
func (pa *Parts) explained(pc *partCrash) bool {
	return slices.ContainsFunc(pc.parts, func(part string) bool { return pa.blocked[part] != nil })
}
