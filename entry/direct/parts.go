package direct

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/wire"
)

// beginTime is how long an answer must have gone on for the parts of its prompt to be ruled out as the cause of
// a crash: a part that crashes its server does so as the answer begins.
const beginTime = 300 * time.Millisecond

// errPartRefused is the cancellation cause of an attempt without an answer yet, because a part of its
// prompt crashes servers.
var errPartRefused = errors.New("direct: a part of the prompt crashes servers; change the prompt")

// waitingAttempt is an attempt that waits for the beginning of its answer.
type waitingAttempt struct {
	request string
	parts   []string
	cancel  context.CancelCauseFunc
}

// suspectParts returns the parts of the prompt that may have crashed the server of an attempt.
func (rq *request) suspectParts(at *attempt) []string {
	if !at.firstEventAt.IsZero() && time.Since(at.firstEventAt) > beginTime {
		return nil
	}
	return rq.info.PromptParts
}

// watchParts returns a context that is canceled if a part of the prompt turns out to crash servers before
// the answer has begun. The returned function ends the watch.
func (cr *crashes) watchParts(ctx context.Context, rq *request, at *attempt) (context.Context, func()) {
	if len(rq.info.PromptParts) == 0 {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	cr.mu.Lock()
	cr.waiting[at] = waitingAttempt{request: rq.info.ID, parts: rq.info.PromptParts, cancel: cancel}
	cr.mu.Unlock()
	return ctx, func() {
		cr.begun(at)
		cancel(nil)
	}
}

// begun records that the answer to an attempt has begun, or that the attempt has ended.
func (cr *crashes) begun(at *attempt) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	delete(cr.waiting, at)
}

// countForParts counts a crash for the parts of prompts that were in flight, and tells the other entry
// nodes of those that are refused from now on.
func (cr *crashes) countForParts(crash poison.Crash) {
	cr.mu.Lock()
	blocked := cr.parts.Crashed(crash, time.Now())
	cr.cancelWaiting(blocked)
	cr.mu.Unlock()
	if len(blocked) == 0 {
		return
	}
	metricPartsBlocked.Add(int64(len(blocked)))
	age := time.Since(crash.At)
	told := cr.no.agents.shareReport(&wire.Frame{PartReport: &wire.PartReport{Parts: blocked, Prober: cr.no.proberName(), Age: age.Milliseconds()}})
	cr.no.logger.Warn().Strs("parts", blocked).Str("server", crash.Run.Server).Int64("born", crash.Run.Born).Dur("age", age).
		Int("told", told).Msg("parts_blocked")
}

// cancelWaiting cancels the attempts with any of the parts that have no answer yet, so that their servers
// do not begin one. It spares those with parts that were answered before: an answer to them would show
// that the parts are sound after all. The caller must hold cr.mu.
func (cr *crashes) cancelWaiting(parts []string) {
	parts = slices.DeleteFunc(slices.Clone(parts), cr.parts.AnsweredBefore)
	if len(parts) == 0 {
		return
	}
	for at, wa := range cr.waiting {
		if slices.ContainsFunc(wa.parts, func(part string) bool { return slices.Contains(parts, part) }) {
			wa.cancel(errPartRefused)
			cr.no.logger.Info().Str("request", wa.request).Str("attempt", at.id).Str("server", at.server).Strs("parts", wa.parts).Msg("attempt_canceled_for_part")
		}
	}
}

// recordPartsAnswered records that a server has answered a request completely and without an error, and
// tells the other entry nodes if parts of its prompt were in flight at crashes.
func (cr *crashes) recordPartsAnswered(rq *request) {
	if len(rq.info.PromptParts) == 0 {
		return
	}
	cr.mu.Lock()
	sound := cr.parts.Answered(rq.info.PromptParts, time.Now())
	cr.mu.Unlock()
	cr.shareSound(rq.info.ID, sound)
}

// shareSound tells the other entry nodes that a request with these parts has been answered just now.
func (cr *crashes) shareSound(request string, parts []string) {
	if len(parts) == 0 {
		return
	}
	told := cr.no.agents.shareReport(&wire.Frame{PartReport: &wire.PartReport{Parts: parts, Sound: true}})
	cr.no.logger.Info().Str("request", request).Strs("parts", parts).Int("told", told).Msg("parts_cleared")
}

// applyPartReport applies what another entry node has found out about parts.
func (cr *crashes) applyPartReport(re *wire.PartReport) {
	age := time.Duration(max(0, re.Age)) * time.Millisecond
	at := time.Now().Add(-age)
	cr.mu.Lock()
	refuted := []string(nil)
	if re.Sound {
		cr.parts.ReportedSound(re.Parts, at)
	} else {
		refuted = cr.blockReported(re, at)
	}
	cr.mu.Unlock()
	cr.no.logger.Info().Strs("parts", re.Parts).Bool("sound", re.Sound).Dur("age", age).Strs("refuted", refuted).Msg("part_report_applied")
	cr.shareSound("", refuted)
}

// proberName returns a name of the node for the choice of the one that probes refused parts.
func (no *Node) proberName() string { return no.options.Settings.Place.Name + "/" + no.boot }

// blockReported refuses parts that another entry node has found to crash servers, the last one at the
// given time, and returns those that have been answered since. Of several nodes that have found this
// at the same time, the first by name probes. The caller must hold cr.mu.
func (cr *crashes) blockReported(re *wire.PartReport, at time.Time) []string {
	blocked, refuted := []string(nil), []string(nil)
	for _, part := range re.Parts {
		if cr.parts.ReportedBlocked(part, at, re.Prober < cr.no.proberName()) {
			blocked = append(blocked, part)
		} else {
			refuted = append(refuted, part)
		}
	}
	cr.cancelWaiting(blocked)
	return refuted
}

// partVerdict returns an error if a part of the request's prompt crashes servers. The caller must hold
// cr.mu.
func (cr *crashes) partVerdict(rq *request) error {
	part, remaining, blocked := cr.parts.Decide(rq.info.ID, rq.info.PromptParts, time.Now())
	if !blocked {
		return nil
	}
	return fault.New(fault.Quarantined, "backend servers crashed several times as they began to answer prompts with the part "+part,
		"change the prompt, or send it again once the part is forgotten").WithRetryAfter(remaining)
}

// recordEnd records that a request has ended, or one of its attempts that may have run without an answer.
func (cr *crashes) recordEnd(rq *request, sent bool) {
	if len(rq.info.PromptParts) == 0 {
		return
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.parts.RequestEnded(rq.info.ID, sent, time.Now())
}
