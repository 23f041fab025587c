package spread

import (
	"slices"
	"time"
)

const (
	// backlogMargin is by how much the backlog of an engine may exceed the expected one before
	// another engine is better. A smaller difference is not worth asking a second agent.
	backlogMargin = 400 * time.Millisecond

	// candidatesMax limits the candidates that are kept for the log.
	candidatesMax = 3
)

// Request holds the properties of a request that affect the choice of a server.
type Request struct {
	Service string
	Model   string
	// Adapter is empty for a request to the base model.
	Adapter string
	// Version is the newest announced version of the adapter, zero if none was announced.
	Version int
	// VersionMin is the oldest version that may still be used, zero for any.
	VersionMin int
	// Popular is true for an adapter that this node often gets requests for.
	Popular bool
	// Goals are what the callers of the request's route expect.
	Goals        Goals
	PromptTokens int
	Zone         string
	Region       string
	// SoftwareRequired is true if only servers that run the version Software of their software may take the
	// request.
	SoftwareRequired bool
	Software         string
	// Exclude holds the IDs of servers that are chosen again only as a last resort.
	Exclude []string
}

// Reason is the state of the chosen server with regard to the request.
type Reason string

// Reasons.
const (
	// PlainService is for a plain service, which has no adapters.
	PlainService Reason = "plain"
	// AdapterLoaded is for an engine that has the adapter, or a request to the base model.
	AdapterLoaded Reason = "holds_adapter"
	// AdapterLoading is for an engine that loads the adapter or has to load its newer version.
	AdapterLoading Reason = "loads_adapter"
	// SlotFree is for an engine that can load the adapter into a free slot.
	SlotFree Reason = "has_room"
	// MustEvict is for an engine that must evict an unused adapter first.
	MustEvict Reason = "must_evict"
	// SlotsInUse is for an engine whose slots all have adapters in use.
	SlotsInUse Reason = "all_in_use"
	// AgentUnavailable is for an engine that is used without a grant because its agent is unavailable.
	AgentUnavailable Reason = "agent_unavailable"
	// NoModel is for an engine that cannot serve the request.
	NoModel Reason = "no_model"
)

// Candidate is a server with its cost in weighted seconds.
type Candidate struct {
	ID   string
	Cost float64
}

// Choice is the chosen server with the cheapest candidates, in ascending order of cost.
type Choice struct {
	ID     string
	Reason Reason
	Cost   float64
	// Wait is the expected time to the first byte.
	Wait time.Duration
	// QueueWait is the part of Wait that remains once the adapter is loaded.
	QueueWait time.Duration
	// BacklogMax is the backlog of a chosen engine beyond which the second candidate is cheaper,
	// zero if there is no second one.
	BacklogMax time.Duration
	// ReportAge is the time since the agent's last report, zero if no agent is available.
	ReportAge      time.Duration
	Candidates     [candidatesMax]Candidate
	CandidateCount int
	// estimate is that of the chosen server, ratedSlowness the reported slowness that it was made with.
	estimate      estimate
	ratedSlowness float64
	// goals are those of the request at the chosen server.
	goals Goals
}

// passes are the rounds in which Choose looks for candidates until it finds one. Each field
// includes servers that are otherwise left out.
var passes = [...]struct{ unhealthy, excluded bool }{{}, {unhealthy: true}, {unhealthy: true, excluded: true}}

// Choose returns the cheapest server for a request, or false if no server can take it.
// Unhealthy servers are candidates only if no healthy one is left that is not excluded. Excluded
// servers, healthy or not, are candidates only if no other server is left at all. A server that is
// leaving, has asked for a pause, has got this node's share of its limit or runs another software version
// than the one that is required is never a candidate.
func (fl *Fleet) Choose(rq Request, now time.Time) (Choice, bool) {
	ch := Choice{}
	group := compatible(fl.services[rq.Service], &rq)
	preferred := preferredEngines(group, &rq)
	for _, pass := range passes {
		for _, me := range group {
			excluded := slices.Contains(rq.Exclude, me.ID)
			if !me.takesNow(now) || excluded && !pass.excluded || me.isUnhealthy(now) && !pass.unhealthy {
				continue
			}
			es := me.estimate(&rq, &preferred, now)
			if es.reason == NoModel {
				continue
			}
			if excluded {
				es.penalty += sameServerRetrySeconds
			}
			ch.addCandidate(me, es, now)
		}
		if ch.CandidateCount > 0 {
			chosen := fl.members[ch.ID]
			ch.goals = chosen.goals(&rq)
			ch.limitBacklog(chosen, now)
			return ch, true
		}
	}
	return ch, false
}

// limitBacklog sets BacklogMax. Reports are late, and all entry nodes may have chosen the same
// engine since the last one; only its agent knows the present backlog.
func (ch *Choice) limitBacklog(me *member, now time.Time) {
	if !me.Engine || ch.CandidateCount < 2 {
		return
	}
	margin := ch.estimate.waitAtCost(ch.Candidates[1].Cost) - ch.estimate.wait
	ch.BacklogMax = me.expectedBacklog(now) + max(backlogMargin, time.Duration(margin/me.latencyRatio*float64(time.Second)))
}

// isUnhealthy reports whether a server is silent or in a backoff after failures or silence.
func (me *member) isUnhealthy(now time.Time) bool {
	return now.Before(me.failureBackoffUntil) || now.Before(me.silenceBackoffUntil) || me.silent(now)
}

// hasAdapter reports whether an engine with an available agent holds the request's adapter or
// has it in its host's cache.
func (me *member) hasAdapter(rq *Request) bool {
	if me.leaving() || !me.agentAvailable {
		return false
	}
	resident := slices.ContainsFunc(me.resident, func(sl AdapterSlot) bool { return sl.Adapter == rq.Adapter && sl.Version >= rq.Version })
	return resident || me.hostCache.hasAdapter(rq.Adapter, rq.Version)
}

// addCandidate inserts a server into the list of the cheapest candidates.
func (ch *Choice) addCandidate(me *member, es estimate, now time.Time) {
	ca := Candidate{ID: me.ID, Cost: es.cost()}
	if ch.CandidateCount == 0 || ca.Cost < ch.Cost {
		ch.ID, ch.Reason, ch.Cost, ch.ReportAge, ch.estimate = me.ID, es.reason, ca.Cost, 0, es
		ch.ratedSlowness = me.ratedSlowness
		ch.Wait = time.Duration(es.wait * float64(time.Second))
		ch.QueueWait = time.Duration(es.queueWait * float64(time.Second))
		if me.agentAvailable {
			ch.ReportAge = now.Sub(me.load.ReportedAt)
		}
	}
	for ix := range ch.Candidates {
		if ix >= ch.CandidateCount {
			ch.Candidates[ix] = ca
			ch.CandidateCount++
			return
		}
		if ca.Cost < ch.Candidates[ix].Cost {
			ch.Candidates[ix], ca = ca, ch.Candidates[ix]
		}
	}
}
