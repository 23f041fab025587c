package relay

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

const (
	// answerMargin is how long before the request's deadline the agent gives up.
	answerMargin = 50 * time.Millisecond
	// modelResolveMax and claimResolveMax bound the wait for a lost connection.
	modelResolveMax = 1500 * time.Millisecond
	claimResolveMax = 6 * time.Second
	// replayWait is the time between requests for missing parts.
	replayWait = 200 * time.Millisecond
	// voidTrust is the age up to which a verdict on an attempt without a claim counts.
	voidTrust = 30 * time.Second

	reasonCallerGone = "caller_gone"

	acknowledgeEvery = links.Window / 4
)

// kind is how an attempt ended.
type kind int

const (
	// answered means that the whole answer was taken.
	answered kind = iota
	// notRun means that the attempt has not run and will not run.
	notRun
	// broken means that the attempt may have run, wholly or in part.
	broken
	// timedOut means that the deadline came first.
	timedOut
	// gone means that the caller went away.
	gone
)

// result is how an attempt ended and why.
type result struct {
	kind       kind
	reason     string
	retryAfter time.Duration
	// crash identifies the engine's crash that ended the attempt, or is empty.
	crash string
}

// controls steers an attempt at its agent.
type controls interface {
	// Acknowledge tells which chunks have arrived without a gap; with replay it asks for the rest again.
	Acknowledge(ctx context.Context, received uint64, replay bool)
	// Void asks the agent to make sure that the attempt never runs.
	Void(ctx context.Context, claimedAt int64) bool
	// Dropped tells once whether signals were lost.
	Dropped() bool
}

// reception takes the signals of one attempt.
type reception struct {
	at      controls
	signals <-chan links.Signal
	// boot is the agent boot the attempt was sent to, sent when that was.
	boot      string
	sent      time.Time
	an        Answer
	claimedAt int64
	resolve   time.Duration

	head     *wire.Head
	received uint64
	unacked  int
	early    map[uint64][]byte
	end      *wire.End
	detached bool
	// asked is true from a request for missing parts until a frame arrives.
	asked bool
	timer *time.Timer
}

// newReception returns the reception of an attempt.
func newReception(at *links.Attempt, an Answer, claimedAt int64) *reception {
	re := &reception{at: at, signals: at.Signals, boot: at.Boot, sent: at.Sent, an: an, claimedAt: claimedAt, resolve: modelResolveMax}
	if claimedAt > 0 {
		re.resolve = claimResolveMax
	}
	return re
}

// run takes signals until the attempt has ended.
func (re *reception) run(ctx context.Context, deadline time.Time) result {
	limit := time.NewTimer(time.Until(deadline))
	defer limit.Stop()
	re.timer = time.NewTimer(time.Hour)
	re.timer.Stop()
	defer re.timer.Stop()
	for {
		select {
		case si := <-re.signals:
			if rs, ended := re.signal(ctx, si); ended {
				return rs
			}
		case <-re.timer.C:
			if re.detached {
				return result{kind: broken, reason: "link_lost"}
			}
			if re.asked || re.missing() {
				re.ask(ctx)
			}
		case <-limit.C:
			return result{kind: timedOut, reason: "deadline"}
		case <-ctx.Done():
			return result{kind: gone, reason: reasonCallerGone}
		}
	}
}

// signal takes one signal and tells whether the attempt has ended.
func (re *reception) signal(ctx context.Context, si links.Signal) (result, bool) {
	if si.Link != nil {
		return re.link(ctx, si.Link)
	}
	fr := si.Frame
	re.asked = false
	switch {
	case fr.Refusal != nil:
		return result{
			kind: notRun, reason: fr.Refusal.Reason,
			retryAfter: time.Duration(fr.Refusal.RetryAfter) * time.Millisecond,
		}, true
	case fr.Verdict != nil:
		return re.verdict(ctx, fr.Verdict.Outcome)
	case fr.Head != nil:
		if re.head == nil {
			re.head = fr.Head
			if err := re.an.Head(fr.Head.Status, fr.Head.ContentType); err != nil {
				return result{kind: gone, reason: reasonCallerGone}, true
			}
		}
	case fr.Chunk != nil:
		if err := re.chunk(ctx, fr.Chunk); err != nil {
			return result{kind: gone, reason: reasonCallerGone}, true
		}
	case fr.End != nil:
		re.end = fr.End
	}
	return re.check(ctx)
}

// link follows the connection: a lost one is waited for, a new one to the same
// boot is asked for the rest, another boot has lost the attempt.
func (re *reception) link(ctx context.Context, ch *links.LinkChange) (result, bool) {
	if !ch.Up {
		re.detached = true
		re.timer.Reset(re.resolve)
		return result{}, false
	}
	if ch.Boot != re.boot {
		return result{kind: broken, reason: "agent_restarted"}, true
	}
	re.detached = false
	re.ask(ctx)
	return result{}, false
}

// ask requests the missing parts, again and again until a frame arrives.
func (re *reception) ask(ctx context.Context) {
	re.asked = true
	re.at.Acknowledge(ctx, re.received, true)
	re.timer.Reset(replayWait)
}

// missing tells whether parts have been seen behind a gap.
func (re *reception) missing() bool {
	return len(re.early) > 0 || re.end != nil
}

// verdict takes what the agent knows of an attempt that has no frames to send.
func (re *reception) verdict(ctx context.Context, outcome wire.VerdictOutcome) (result, bool) {
	switch outcome {
	case wire.VerdictOutcomeVoided:
		if re.claimedAt == 0 && time.Since(re.sent) > voidTrust {
			return result{kind: broken, reason: "verdict_too_late"}, true
		}
		return result{kind: notRun, reason: "voided"}, true
	case wire.VerdictOutcomeUnknown:
		re.at.Void(ctx, re.claimedAt)
		return result{}, false
	case wire.VerdictOutcomeRunning:
		return result{}, false
	case wire.VerdictOutcomeAnswered:
	}
	return result{kind: broken, reason: "answer_lost"}, true
}

// chunk takes a part, holds it back while earlier ones are missing and drops it when it came before.
func (re *reception) chunk(ctx context.Context, ch *wire.Chunk) error {
	if ch.Sequence <= re.received {
		return nil
	}
	if ch.Sequence > re.received+1 || re.head == nil {
		if re.early == nil {
			re.early = map[uint64][]byte{}
		}
		if len(re.early) < 2*links.Window {
			re.early[ch.Sequence] = ch.Data
		}
		re.timer.Reset(replayWait)
		return nil
	}
	return re.take(ctx, ch.Data)
}

// take passes on a part that is next in order and those that waited behind it.
func (re *reception) take(ctx context.Context, data []byte) error {
	for data != nil {
		if err := re.an.Part(data); err != nil {
			return err
		}
		re.received++
		re.unacked++
		if re.unacked >= acknowledgeEvery {
			re.unacked = 0
			re.at.Acknowledge(ctx, re.received, false)
		}
		data = re.early[re.received+1]
		delete(re.early, re.received+1)
	}
	return nil
}

// check tells whether the answer has ended with all its parts, and asks for those that are missing.
func (re *reception) check(ctx context.Context) (result, bool) {
	if data := re.early[re.received+1]; data != nil && re.head != nil {
		delete(re.early, re.received+1)
		if err := re.take(ctx, data); err != nil {
			return result{kind: gone, reason: reasonCallerGone}, true
		}
	}
	if re.at.Dropped() {
		re.ask(ctx)
	}
	if re.end == nil {
		return result{}, false
	}
	if !re.end.Whole {
		re.at.Acknowledge(ctx, re.end.Count+1, false)
		if re.end.Reason == "deadline" {
			return result{kind: timedOut, reason: re.end.Reason}, true
		}
		return result{kind: broken, reason: re.end.Reason, crash: re.end.Crash}, true
	}
	if re.received < re.end.Count || re.head == nil {
		re.timer.Reset(replayWait)
		return result{}, false
	}
	re.at.Acknowledge(ctx, re.end.Count+1, false)
	return result{kind: answered, reason: "whole"}, true
}
