package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

const (
	// reasonDeadline is the reason of an attempt that ended with the request's time, here or at the agent.
	reasonDeadline = "deadline"

	// agentDeadlineMargin is how much earlier the agent's deadline is than the request's.
	agentDeadlineMargin = 50 * time.Millisecond
	// modelReconnectTimeout and claimReconnectTimeout limit how long an attempt without and
	// with a claim waits for a lost connection to its agent.
	modelReconnectTimeout = 1500 * time.Millisecond
	claimReconnectTimeout = 6 * time.Second
	// replayInterval is the time between requests to resend missing frames.
	replayInterval = 200 * time.Millisecond
	// maxVoidedVerdictAge is the age of an attempt without a claim up to which a verdict that
	// it was voided is trusted.
	maxVoidedVerdictAge = 30 * time.Second

	reasonCallerGone = "caller_gone"
	// reasonNodeStopping means that the stop of the node is about to end.
	reasonNodeStopping = "node_stopping"
	// reasonOtherSoftware means that an engine of another software version than the one that began the stream
	// has answered.
	reasonOtherSoftware = "other_software"
	// reasonNoStream means that an engine has answered with something else than a stream where one goes on.
	reasonNoStream = "no_stream"
	// reasonInvalidAnswer means that the status of an answer is invalid.
	reasonInvalidAnswer = "invalid_answer"

	eventStreamType = "text/event-stream"

	chunksPerAcknowledgement = links.Window / 4
)

// attemptControl sends messages about an attempt to its agent.
type attemptControl interface {
	// Acknowledge acknowledges all chunks up to the given sequence number. With replay it also
	// asks the agent to resend the unacknowledged frames.
	Acknowledge(ctx context.Context, received uint64, replay bool)
	// Void asks the agent to prevent the attempt from running if it has not started, and reports
	// whether the message could be sent.
	Void(ctx context.Context, claimedAt int64) bool
	// TakeDropped reports whether events were dropped since the last call.
	TakeDropped() bool
}

// receiver receives the answer of one attempt. It restores the order of the chunks and asks the
// agent to resend missing frames.
type receiver struct {
	at     attemptControl
	events <-chan links.Event
	// boot identifies the run of the agent that the attempt was sent to at sentAt.
	boot   string
	sentAt time.Time
	an     Answer
	// claimedAt is the log time of the claim in Unix milliseconds, zero without one.
	claimedAt        int64
	reconnectTimeout time.Duration
	// begun is true if the caller has a part of the answer from an engine of the version software, at which
	// alone the answer goes on.
	begun    bool
	software string

	head *wire.Head
	// received is the sequence number of the last chunk that was delivered.
	received       uint64
	unacknowledged int
	// outOfOrder holds the chunks that follow a gap, by sequence number.
	outOfOrder   map[uint64][]byte
	end          *wire.End
	disconnected bool
	// replayRequested is true from a request to resend frames until a frame arrives.
	replayRequested bool
	// timer ends the wait for a connection while disconnected is true. Otherwise it triggers
	// the next request to resend frames.
	timer *time.Timer
}

// newReceiver returns a receiver that passes the answer of an attempt on to the given Answer.
func newReceiver(at *links.Attempt, an Answer, claimedAt int64) *receiver {
	re := &receiver{at: at, events: at.Events, boot: at.Boot, sentAt: at.SentAt, an: an, claimedAt: claimedAt, reconnectTimeout: modelReconnectTimeout}
	if claimedAt > 0 {
		re.reconnectTimeout = claimReconnectTimeout
	}
	return re
}

// run handles events until the attempt has ended or the deadline has passed.
func (re *receiver) run(ctx context.Context, deadline time.Time) result {
	deadlineTimer := time.NewTimer(time.Until(deadline))
	defer deadlineTimer.Stop()
	re.timer = time.NewTimer(time.Hour)
	re.timer.Stop()
	defer re.timer.Stop()
	for {
		select {
		case ev := <-re.events:
			if rs, ended := re.handleEvent(ctx, ev); ended {
				return rs
			}
		case <-re.timer.C:
			if re.disconnected {
				return result{ending: interrupted, reason: "link_lost"}
			}
			if re.replayRequested || re.hasGap() {
				re.requestReplay(ctx)
			}
		case <-deadlineTimer.C:
			return result{ending: timedOut, reason: reasonDeadline}
		case <-ctx.Done():
			return endOf(ctx)
		}
	}
}

// endOf returns how an attempt ends with its context: at the deadline of a call that goes on without its
// caller, because the node is stopping or because the caller has disconnected.
func endOf(ctx context.Context) result {
	switch {
	case stopsNode(ctx):
		return result{ending: canceled, reason: reasonNodeStopping}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result{ending: timedOut, reason: reasonDeadline}
	}
	return result{ending: canceled, reason: reasonCallerGone}
}

// handleEvent handles one event and reports whether the attempt has ended.
func (re *receiver) handleEvent(ctx context.Context, ev links.Event) (result, bool) {
	if ev.Connection != nil {
		return re.handleConnectionChange(ctx, ev.Connection)
	}
	fr := ev.Frame
	re.replayRequested = false
	switch {
	case fr.Refusal != nil:
		return result{
			ending: notRun, reason: fr.Refusal.Reason,
			retryAfter: time.Duration(fr.Refusal.RetryAfter) * time.Millisecond,
		}, true
	case fr.Verdict != nil:
		return re.handleVerdict(ctx, fr.Verdict.Outcome)
	case fr.Head != nil:
		if rs, ended := re.handleHead(fr.Head); ended {
			return rs, true
		}
	case fr.Chunk != nil:
		if err := re.handleChunk(ctx, fr.Chunk); err != nil {
			return result{ending: canceled, reason: reasonCallerGone}, true
		}
	case fr.End != nil:
		re.end = fr.End
	}
	return re.checkEnd(ctx)
}

// handleHead passes the first head of the answer on. A stream that has begun goes on with a stream of an engine of the
// same software version only; any other answer ends before a part of it is passed on.
func (re *receiver) handleHead(hd *wire.Head) (result, bool) {
	if re.head != nil {
		return result{}, false
	}
	switch {
	case !reply.IsFinalStatus(hd.Status):
		return result{ending: interrupted, reason: reasonInvalidAnswer}, true
	case re.begun && !isStream(hd):
		return result{ending: interrupted, reason: reasonNoStream}, true
	case re.begun && hd.Software != re.software:
		return result{ending: interrupted, reason: reasonOtherSoftware}, true
	}
	re.head = hd
	if err := re.an.Head(hd.Status, hd.ContentType); err != nil {
		return result{ending: canceled, reason: reasonCallerGone}, true
	}
	return result{}, false
}

// isStream reports whether a head is that of a stream of events.
func isStream(hd *wire.Head) bool {
	return hd.Status == http.StatusOK && strings.HasPrefix(hd.ContentType, eventStreamType)
}

// answeredBy returns the software version of the engine that has answered, empty if none has or it named none.
func (re *receiver) answeredBy() string {
	if re.head == nil {
		return ""
	}
	return re.head.Software
}

// handleConnectionChange handles the loss or the restoration of the connection to the agent. It waits
// for a lost connection, and asks the same run of the agent for the missing frames once there is
// a new one. A restarted agent has lost the attempt.
func (re *receiver) handleConnectionChange(ctx context.Context, ch *links.ConnectionChange) (result, bool) {
	if !ch.Up {
		re.disconnected = true
		re.timer.Reset(re.reconnectTimeout)
		return result{}, false
	}
	if ch.Boot != re.boot {
		return result{ending: interrupted, reason: "agent_restarted"}, true
	}
	re.disconnected = false
	re.requestReplay(ctx)
	return result{}, false
}

// handleVerdict handles the agent's verdict on an attempt for which it has no frames to send.
func (re *receiver) handleVerdict(ctx context.Context, outcome wire.VerdictOutcome) (result, bool) {
	switch outcome {
	case wire.VerdictOutcomeVoided:
		if re.claimedAt == 0 && time.Since(re.sentAt) > maxVoidedVerdictAge {
			return result{ending: interrupted, reason: "verdict_too_late"}, true
		}
		return result{ending: notRun, reason: "voided"}, true
	case wire.VerdictOutcomeUnknown:
		re.at.Void(ctx, re.claimedAt)
		return result{}, false
	case wire.VerdictOutcomeRunning:
		return result{}, false
	case wire.VerdictOutcomeAnswered:
	}
	return result{ending: interrupted, reason: "answer_lost"}, true
}
