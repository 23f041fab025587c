package poison

import "time"

const (
	// firstProbeDelay is the time until a request with a refused part is let through, to find out
	// whether the part is sound after all, and answeredProbeDelay the same for a part that was answered
	// before. Each further one waits probeBackoff times as long.
	firstProbeDelay    = time.Minute
	answeredProbeDelay = time.Second
	probeBackoff       = 16
)

// blockedPart is a part that is refused.
type blockedPart struct {
	lastCrashAt time.Time
	// probeAt is when the next probe may be sent, the zero time if this node sends none.
	probeAt    time.Time
	probeDelay time.Duration
	// probe is the ID of the request that is let through, empty for none.
	probe string
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
