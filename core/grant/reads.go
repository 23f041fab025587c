package grant

import (
	"time"

	"github.com/bambooladder/bambooladder/core/decay"
)

const (
	// readRate is the prompt tokens that an engine of usual speed reads in a second.
	readRate = 17_000.0
	// rateWeight is the weight of one more measurement in an engine's rate, rateTokens the
	// least that a measurement must cover: a short prompt's time is mostly the way.
	rateWeight = 0.2
	rateTokens = 1500
	// pausePart is the part of the longest pause that callers bear for which prompts may be
	// read without a break; the rest is for the steps of the streams under way.
	pausePart = 0.9
	// burstWait is how long a prompt waits for the next burst.
	burstWait = 500 * time.Millisecond
	// pausesMax is the decayed number of streams that paused for too long from which on
	// bursts are bounded, pausesHalfLife the time in which their weight halves.
	pausesMax      = 1.5
	pausesHalfLife = 10 * time.Second
	// pacedTime is how long bursts are bounded after the last pause that was too long.
	pacedTime = time.Minute
	// pauseFactor bounds the pauses that count, as a multiple of what callers bear: longer
	// ones come from something else, as a host that stood still.
	pauseFactor = 2.5
	// unreadMax is how long beyond twice its expected time a prompt may stay unread before
	// it is taken for read: the entry node's word may be lost.
	unreadMax = 2 * time.Second
)

// prompt is a granted prompt that the engine has not read.
type prompt struct {
	tokens int
	// due is when the prompt is taken for read at the latest.
	due time.Time
}

// reads follows the prompts that an engine has been granted. An engine reads prompts
// between the steps of its streams, so that prompts one after the other hold the streams
// up; where that takes longer than callers bear, prompts are granted in bursts with a
// break between. Its zero value has seen none.
type reads struct {
	unread map[string]prompt
	// burst is the tokens granted since the engine last had nothing to read, begun when
	// the first of them were.
	burst int
	begun time.Time
	// whole is true while every prompt of the burst was read as far as is known.
	whole bool
	// readBy is when the prompts granted so far are read.
	readBy time.Time
	// rate is the measured prompt tokens a second, zero before the first measurement.
	rate float64
	// pauses counts the streams that paused for longer than callers bear, pauseMax.
	pauses    decay.Count
	pauseMax  time.Duration
	pacedTill time.Time
}

// tokensPerSecond returns the rate at which the engine reads prompts.
func (rs *reads) tokensPerSecond() float64 {
	if rs.rate == 0 {
		return readRate
	}
	return rs.rate
}

// burstMax returns the tokens that may be granted without a break, zero for no bound.
func (rs *reads) burstMax(now time.Time) int {
	if !now.Before(rs.pacedTill) {
		return 0
	}
	return int(pausePart * rs.pauseMax.Seconds() * rs.tokensPerSecond())
}

// allows tells whether a prompt that has waited may be granted now: the first of a burst
// always, a further one where the burst stays within its bound. Where prompts come faster
// than they are read, no bound saves the streams under way, and none is kept.
func (rs *reads) allows(tokens int, waited time.Duration, now time.Time) bool {
	limit := rs.burstMax(now)
	return limit == 0 || len(rs.unread) == 0 || rs.burst+tokens <= limit || waited > burstWait
}

// granted takes a prompt that the engine is about to get.
func (rs *reads) granted(attempt string, tokens int, now time.Time) {
	if rs.unread == nil {
		rs.unread = map[string]prompt{}
	}
	if len(rs.unread) == 0 {
		rs.burst, rs.begun, rs.whole = 0, now, true
	}
	rs.burst += tokens
	rs.readBy = later(rs.readBy, now).Add(ReadTime(tokens))
	rs.unread[attempt] = prompt{tokens: tokens, due: now.Add(2*rs.readBy.Sub(now) + unreadMax)}
}

// started takes the first event of a stream: its prompt has been read.
func (rs *reads) started(attempt string, now time.Time) {
	if _, ok := rs.unread[attempt]; !ok {
		return
	}
	delete(rs.unread, attempt)
	if len(rs.unread) > 0 {
		return
	}
	rs.readBy = now
	took := now.Sub(rs.begun).Seconds()
	if rs.whole && rs.burst >= rateTokens && took > 0 {
		rs.rate = rs.tokensPerSecond() + rateWeight*(float64(rs.burst)/took-rs.tokensPerSecond())
	}
}

// ended takes the end of a request, whether its prompt was read or not.
func (rs *reads) ended(attempt string, now time.Time) {
	if _, ok := rs.unread[attempt]; ok {
		rs.whole = false
		rs.started(attempt, now)
	}
}

// expire takes the prompts for read whose time is over.
func (rs *reads) expire(now time.Time) {
	for attempt, pr := range rs.unread {
		if !now.Before(pr.due) {
			rs.ended(attempt, now)
		}
	}
}

// paused takes the longest pause of a stream beside the longest that its caller bears.
func (rs *reads) paused(longest, bears time.Duration, now time.Time) {
	if bears <= 0 || longest <= bears || float64(longest) > pauseFactor*float64(bears) {
		return
	}
	if rs.pauseMax == 0 || bears < rs.pauseMax {
		rs.pauseMax = bears
	}
	rs.pauses = rs.pauses.Plus(now, pausesHalfLife)
	if rs.pauses.At(now, pausesHalfLife) >= pausesMax {
		rs.pacedTill = now.Add(pacedTime)
	}
}

// forget drops what an earlier run of the engine was granted; its pace is measured anew.
func (rs *reads) forget() { *rs = reads{} }
