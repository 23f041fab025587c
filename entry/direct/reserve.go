package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/wire"
)

// Reasons why a reservation brought no grant, beside those that agents name.
const (
	reasonNoAgent = "agent_not_connected"
	reasonSilent  = "agent_silent"
	reasonLate    = "grant_late"
	reasonGone    = "caller_gone"
	reasonLeaving = "server_leaving"
)

// granting is what became of a reservation.
type granting struct {
	granted bool
	version int
	reason  string
	// queued is true where the agent answered that the attempt waits.
	queued     bool
	retryAfter time.Duration
	took       time.Duration
}

// reserve asks the agent beside a server for a grant and waits for it.
func (as *agents) reserve(ctx context.Context, id string, re wire.Reserve) granting {
	start := time.Now()
	as.mu.Lock()
	host, al := as.linkOf(id)
	if al == nil {
		as.mu.Unlock()
		return granting{reason: reasonNoAgent}
	}
	wa := &wait{server: id, frames: make(chan *wire.Frame, signalsMax)}
	as.waiting[re.Attempt] = wa
	as.mu.Unlock()
	gr := granting{reason: reasonSilent}
	if al.co.TrySend(&wire.Frame{Reserve: &re}) {
		gr = as.await(ctx, wa.frames, time.Duration(re.Budget)*time.Millisecond)
	}
	gr.took = time.Since(start)
	as.mu.Lock()
	delete(as.waiting, re.Attempt)
	if gr.granted {
		as.granted[re.Attempt] = &reservation{host: host, re: re}
	}
	if gr.reason == reasonSilent {
		al.silent = true
	}
	as.mu.Unlock()
	if !gr.granted && gr.reason != reasonNoAgent {
		al.co.TrySend(&wire.Frame{Release: &wire.Release{Attempt: re.Attempt, Ending: wire.ReleaseEndingWithdrawn}})
	}
	if gr.reason == reasonSilent {
		as.no.unanswered(id, start)
	}
	return gr
}

// linkOf returns the connection to the agent beside a server, unless it is silent.
func (as *agents) linkOf(id string) (string, *agentLink) {
	for host, server := range as.servers {
		if server != id {
			continue
		}
		if al := as.links[host]; al != nil && !al.silent {
			return host, al
		}
	}
	return "", nil
}

// await waits for the answer of an agent.
func (as *agents) await(ctx context.Context, ch chan *wire.Frame, budget time.Duration) granting {
	answer := time.NewTimer(answerMax)
	defer answer.Stop()
	late := time.NewTimer(budget)
	defer late.Stop()
	queued := false
	for {
		select {
		case <-ctx.Done():
			return granting{reason: reasonGone, queued: queued}
		case <-late.C:
			return granting{reason: reasonLate, queued: queued}
		case <-answer.C:
			if !queued {
				return granting{reason: reasonSilent}
			}
		case fr := <-ch:
			switch {
			case fr.Grant != nil:
				return granting{granted: true, version: fr.Grant.Version, queued: queued}
			case fr.Refusal != nil:
				wait := time.Duration(fr.Refusal.RetryAfter) * time.Millisecond
				return granting{reason: fr.Refusal.Reason, queued: queued, retryAfter: wait}
			case fr.Queued != nil:
				queued = true
			}
		}
	}
}

// started tells the agent that the engine has read the prompt of a granted attempt.
func (as *agents) started(attempt string) {
	as.mu.Lock()
	al := as.granter(attempt)
	as.mu.Unlock()
	if al != nil && !al.co.TrySend(&wire.Frame{Started: &wire.Started{Attempt: attempt}}) {
		as.no.lg.Warn().Str("attempt", attempt).Msg("start_not_sent")
	}
}

// release ends a granted attempt; pause is the longest of its stream, zero where it is not known.
func (as *agents) release(attempt string, ending wire.ReleaseEnding, pause time.Duration) {
	as.mu.Lock()
	al := as.granter(attempt)
	delete(as.granted, attempt)
	as.mu.Unlock()
	re := &wire.Release{Attempt: attempt, Ending: ending, Pause: pause.Milliseconds()}
	if al != nil && !al.co.TrySend(&wire.Frame{Release: re}) {
		as.no.lg.Warn().Str("attempt", attempt).Msg("release_not_sent")
	}
}

// granter returns the connection to the agent that granted an attempt, or nil.
func (as *agents) granter(attempt string) *agentLink {
	if rs := as.granted[attempt]; rs != nil {
		return as.links[rs.host]
	}
	return nil
}

// keyOf returns the adapter that a call names.
func (ca *Call) keyOf() grant.Key { return grant.Key{Model: ca.Model, Adapter: ca.Adapter} }
