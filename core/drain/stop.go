package drain

import "time"

const (
	// noticeTime is how long after the readiness check has begun to fail new connections still arrive. Load balancers
	// remove a node after two failed checks, made one second apart.
	noticeTime = 2500 * time.Millisecond
	// closeMargin is the part of a stop reserved for closing the servers after draining, closeShare limits it to a
	// share of short stops.
	closeMargin = 400 * time.Millisecond
	closeShare  = 0.05
	// abortMargin is how long before connections are closed the requests that still run are answered, abortShare
	// limits it to a share of short stops. It is the time for the answers to be written on a busy host.
	abortMargin = 500 * time.Millisecond
	abortShare  = 0.09
	// unknownShare is the part of a stop that is left for an answer of which nothing is known.
	unknownShare = 0.25
)

// Stop is the timetable of a planned stop. The zero value is that of a node that is not stopping.
type Stop struct {
	// BeganAt is when the stop began.
	BeganAt time.Time
	// NoticedAt is from when on the load balancer sends no new connections.
	NoticedAt time.Time
	// UnknownEndAt is when requests of which nothing is known may no longer begin.
	UnknownEndAt time.Time
	// AnswersEndAt is when requests that still run are answered.
	AnswersEndAt time.Time
	// ClosedAt is when all connections are closed.
	ClosedAt time.Time
}

// NewStop returns the timetable of a stop that begins now and may take some time.
func NewStop(now time.Time, length time.Duration) Stop {
	closed := length - min(closeMargin, share(closeShare, length))
	answers := closed - min(abortMargin, share(abortShare, length))
	return Stop{
		BeganAt: now, NoticedAt: now.Add(min(noticeTime, answers)), UnknownEndAt: now.Add(share(1-unknownShare, answers)),
		AnswersEndAt: now.Add(answers), ClosedAt: now.Add(closed),
	}
}

// share returns a share of a period.
func share(part float64, period time.Duration) time.Duration {
	return time.Duration(part * float64(period))
}

// Begun reports whether the node is stopping.
func (st Stop) Begun() bool { return !st.BeganAt.IsZero() }

// LatestStart returns until when a request with a deadline may be sent to a backend server, given the estimate of its
// answer and when it had been read whole: what is sent later would be cut off. A request whose deadline comes before the
// end of answers is not cut by the stop. One that came before the load balancer could know of the stop needs only be likely to
// end in time. A later one, whose caller can use another node, must be sure to, and no stream is: how long one takes is not
// known before its end.
func (st Stop) LatestStart(es Estimate, wholeAt, deadline time.Time) time.Time {
	if !st.Begun() || !deadline.After(st.AnswersEndAt) {
		return deadline
	}
	early := wholeAt.Before(st.NoticedAt)
	switch {
	case early && es.known():
		return st.AnswersEndAt.Add(-es.Likely)
	case early:
		return st.UnknownEndAt
	case es.sure():
		return st.AnswersEndAt.Add(-es.Sure)
	}
	return st.BeganAt
}

// LatestWhole returns until when the body of a request may arrive: what is whole only then could not begin.
func (st Stop) LatestWhole(es Estimate, deadline time.Time) time.Time {
	late := st.LatestStart(es, st.NoticedAt, deadline)
	if late.After(st.NoticedAt) {
		return late
	}
	early := st.LatestStart(es, st.BeganAt, deadline)
	if early.After(st.NoticedAt) {
		return st.NoticedAt
	}
	return early
}

// LatestResume returns until when a request whose answer has begun may be sent once more. Its answer would be broken off
// otherwise, so that any chance is taken.
func (st Stop) LatestResume(deadline time.Time) time.Time {
	if st.Begun() && st.AnswersEndAt.Before(deadline) {
		return st.AnswersEndAt
	}
	return deadline
}
