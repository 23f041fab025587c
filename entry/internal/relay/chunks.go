package relay

import (
	"context"

	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

// requestReplay asks the agent to resend the missing frames and starts the timer that repeats
// the request until a frame arrives.
func (re *receiver) requestReplay(ctx context.Context) {
	re.replayRequested = true
	re.at.Acknowledge(ctx, re.received, true)
	re.timer.Reset(replayInterval)
}

// hasGap reports whether a chunk or the end has arrived before all chunks that precede it.
func (re *receiver) hasGap() bool {
	return len(re.outOfOrder) > 0 || re.end != nil
}

// handleChunk delivers a chunk, or buffers it while earlier ones or the head are missing. It
// ignores a chunk that was delivered before.
func (re *receiver) handleChunk(ctx context.Context, ch *wire.Chunk) error {
	if ch.Sequence <= re.received {
		return nil
	}
	if ch.Sequence > re.received+1 || re.head == nil {
		if re.outOfOrder == nil {
			re.outOfOrder = map[uint64][]byte{}
		}
		if len(re.outOfOrder) < 2*links.Window {
			re.outOfOrder[ch.Sequence] = ch.Data
		}
		re.timer.Reset(replayInterval)
		return nil
	}
	return re.deliver(ctx, ch.Data)
}

// deliver passes on the data of the next chunk, which may be empty, and of the buffered chunks that follow
// it, and acknowledges them in groups.
func (re *receiver) deliver(ctx context.Context, data []byte) error {
	for found := true; found; {
		if err := re.an.Part(data); err != nil {
			return err
		}
		re.received++
		re.unacknowledged++
		if re.unacknowledged >= chunksPerAcknowledgement {
			re.unacknowledged = 0
			re.at.Acknowledge(ctx, re.received, false)
		}
		data, found = re.outOfOrder[re.received+1]
		delete(re.outOfOrder, re.received+1)
	}
	return nil
}

// checkEnd reports whether the attempt has ended: its end has arrived, and with it either all
// chunks or the statement that the answer is incomplete. Before that it delivers chunks that
// were buffered until the head arrived, and requests frames that are missing.
func (re *receiver) checkEnd(ctx context.Context) (result, bool) {
	if data, found := re.outOfOrder[re.received+1]; found && re.head != nil {
		delete(re.outOfOrder, re.received+1)
		if err := re.deliver(ctx, data); err != nil {
			return result{ending: canceled, reason: reasonCallerGone}, true
		}
	}
	if re.at.TakeDropped() {
		re.requestReplay(ctx)
	}
	if re.end == nil {
		return result{}, false
	}
	if !re.end.Whole {
		re.at.Acknowledge(ctx, re.end.Count+1, false)
		if re.end.Reason == reasonDeadline {
			return result{ending: timedOut, reason: re.end.Reason}, true
		}
		return result{ending: interrupted, reason: re.end.Reason, crashID: re.end.Crash}, true
	}
	if re.received < re.end.Count || re.head == nil {
		re.timer.Reset(replayInterval)
		return result{}, false
	}
	re.at.Acknowledge(ctx, re.end.Count+1, false)
	return result{ending: answered, reason: "whole"}, true
}
