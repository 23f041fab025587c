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

const (
	// firstProbeDelay is the time until a request with a refused part is let through, to find out
	// whether the part is sound after all, and answeredProbeDelay the same for a part that was answered
	// before. Each further one waits probeBackoff times as long.
	firstProbeDelay    = time.Minute
	answeredProbeDelay = time.Second
	probeBackoff       = 16
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

// blockedPart is a part that is refused.
type blockedPart struct {
	lastCrashAt time.Time
	// probeAt is when the next probe may be sent, the zero time if this node sends none.
	probeAt    time.Time
	probeDelay time.Duration
	// probe is the ID of the request that is let through, empty for none.
	probe string
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
	return pa.blockGuilty(parts, now)
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

// blockGuilty blocks the most suspect one of the parts as long as one of them is guilty, and returns
// those. Each one explains crashes that then no longer speak against the others.
func (pa *Parts) blockGuilty(parts []string, now time.Time) []string {
	list := []string(nil)
	for {
		worst, worstCase := "", partCase{}
		for _, part := range parts {
			if ca := pa.caseAgainst(part); ca.guilty && !ca.weakerThan(worstCase) {
				worst, worstCase = part, ca
			}
		}
		if worst == "" {
			return list
		}
		bp := pa.block(worst, worstCase.last)
		bp.probeDelay = firstProbeDelay
		if worstCase.answered {
			bp.probeDelay = answeredProbeDelay
		}
		bp.probeAt = now.Add(bp.probeDelay)
		list = append(list, worst)
	}
}

// block refuses a part whose last crash was at the given time.
func (pa *Parts) block(part string, at time.Time) *blockedPart {
	if pa.blocked == nil {
		pa.blocked = map[string]*blockedPart{}
	}
	bp := &blockedPart{lastCrashAt: at}
	pa.blocked[part] = bp
	return bp
}

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

// ReportedBlocked refuses a part of which another entry node has found that it crashes servers, the last
// one at the given time, and leaves the probes to that node if probes is set. It returns false if an
// answer since then shows that the part is sound.
func (pa *Parts) ReportedBlocked(part string, at time.Time, probes bool) bool {
	if answeredAt, ok := pa.answers.last(part); ok && answeredAt.After(at) {
		return false
	}
	bp := pa.blocked[part]
	if bp == nil {
		bp = pa.block(part, at)
	}
	if bp.lastCrashAt.Before(at) {
		bp.lastCrashAt = at
	}
	if probes {
		bp.probeAt = time.Time{}
	}
	return true
}

// AnsweredBefore reports whether a request with the part has been answered, so that those in flight may
// show again that it is sound.
func (pa *Parts) AnsweredBefore(part string) bool {
	_, ok := pa.answers.last(part)
	return ok
}

// Decide returns the first of the parts for which a request is refused, and for how long, or false. It
// may let the request through as a probe.
func (pa *Parts) Decide(request string, parts []string, now time.Time) (string, time.Duration, bool) {
	if len(pa.blocked) == 0 {
		return "", 0, false
	}
	for _, part := range parts {
		bp := pa.blocked[part]
		if bp != nil && now.Sub(bp.lastCrashAt) < Retention && !bp.allows(request, now) {
			return part, bp.retryAfter(now), true
		}
	}
	for _, part := range parts {
		if bp := pa.blocked[part]; bp != nil {
			bp.probe = request
		}
	}
	return "", 0, false
}

// allows reports whether a request may be sent as a probe of the part.
func (bp *blockedPart) allows(request string, now time.Time) bool {
	return !bp.probeAt.IsZero() && !now.Before(bp.probeAt) && (bp.probe == "" || bp.probe == request)
}

// retryAfter returns how long requests with the part are refused at least.
func (bp *blockedPart) retryAfter(now time.Time) time.Duration {
	if !bp.probeAt.IsZero() {
		return max(answeredProbeDelay, bp.probeAt.Sub(now))
	}
	return Retention - now.Sub(bp.lastCrashAt)
}

// RequestEnded ends the probes of a request. If the request was sent, the next probe waits longer. An
// answer that shows that the parts are sound must have been recorded before.
func (pa *Parts) RequestEnded(request string, sent bool, now time.Time) {
	for _, bp := range pa.blocked {
		if bp.probe != request {
			continue
		}
		bp.probe = ""
		if sent {
			bp.probeDelay *= probeBackoff
			bp.probeAt = now.Add(bp.probeDelay)
		}
	}
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
