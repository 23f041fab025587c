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
	// rivalFactor times the crashes with another part must not exceed those with a part that was answered
	// before.
	rivalFactor = 4.0 / 3
	// otherCrashesFactor times the crashes without the part must not exceed those with it.
	otherCrashesFactor = 3
)

// partCase is what speaks against a part.
type partCase struct {
	// crashes counts those since the last answer, explained those of them at which a refused part was in
	// flight too, and others those without the part between the first and the last of them.
	crashes, explained, others int
	first, last                time.Time
	// answered is true if the part has been in an answered request before.
	answered bool
	guilty   bool
}

// weakerThan reports whether less speaks against the part than against another one.
func (ca partCase) weakerThan(other partCase) bool {
	switch {
	case !other.guilty:
		return false
	case ca.answered != other.answered:
		return ca.answered
	}
	return ca.crashes < other.crashes
}

// needed returns the number of crashes at which the part is refused.
func (ca partCase) needed() int {
	amongOthers := otherCrashesFactor*ca.others > ca.crashes
	switch {
	case ca.answered && amongOthers:
		return answeredPartAmongOthers
	case ca.answered:
		return answeredPartCrashes
	case amongOthers:
		return partCrashesAmongOthers
	}
	return PartCrashes
}

// caseAgainst returns what speaks against a part that is not refused yet.
func (pa *Parts) caseAgainst(part string) partCase {
	if pa.blocked[part] != nil {
		return partCase{}
	}
	ca := pa.countCrashes(part)
	ca.guilty = ca.crashes >= ca.needed() && pa.answers.without(part, ca.first, ca.last) && (!ca.answered || pa.standsOut(part, ca))
	return ca
}

// standsOut reports whether no other part was in flight at nearly as many crashes since its last answer. If
// one was, too little is answered to tell the parts apart. A part of all requests does not count.
func (pa *Parts) standsOut(part string, ca partCase) bool {
	seen := map[string]bool{part: true}
	for ix := range pa.crashes {
		for _, other := range pa.crashes[ix].parts {
			if seen[other] {
				continue
			}
			seen[other] = true
			rival := pa.countCrashes(other)
			if rivalFactor*float64(rival.crashes) > float64(ca.crashes) && pa.answers.without(other, rival.first, rival.last) {
				return false
			}
		}
	}
	return true
}

// countCrashes counts the crashes since the last answer that speak against a part.
func (pa *Parts) countCrashes(part string) partCase {
	answeredAt, answered := pa.answers.last(part)
	ca := partCase{answered: answered}
	countedAt, otherAt, others := time.Time{}, time.Time{}, 0
	for ix := range pa.crashes {
		pc := &pa.crashes[ix]
		if !pc.at.After(answeredAt) {
			continue
		}
		found, explained := slices.Contains(pc.parts, part), pa.explained(pc)
		switch {
		case !found && !explained && ca.crashes > 0 && pc.at.Sub(otherAt) >= sameCauseTime:
			others++
			otherAt = pc.at
		case found && pc.at.Sub(countedAt) >= sameCauseTime:
			ca = ca.withCrash(pc.at, explained, others)
			countedAt = pc.at
		}
	}
	if ca.crashes-ca.explained < unexplainedMin {
		ca.crashes -= ca.explained
	}
	return ca
}

// withCrash returns the case with one more crash after others without the part.
func (ca partCase) withCrash(at time.Time, explained bool, others int) partCase {
	if ca.crashes == 0 {
		ca.first = at
	}
	ca.crashes++
	if explained {
		ca.explained++
	}
	ca.last, ca.others = at, others
	return ca
}

// explained reports whether a part that is refused was in flight at a crash.
func (pa *Parts) explained(pc *partCrash) bool {
	return slices.ContainsFunc(pc.parts, func(part string) bool { return pa.blocked[part] != nil })
}
