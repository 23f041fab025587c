package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

// pauseSpread is the part of a pause by which a node prolongs it at most, so that not all entry nodes
// return to the server at the same time.
const pauseSpread = 0.2

// applyDemands records what the attempt's server asks for in the headers of its answer, and returns
// it.
func (rq *request) applyDemands(at *attempt, an *pool.Answer) Demands {
	no := rq.no
	de, err := no.options.Protocol.Demands(an.Status, an.Header)
	if err != nil {
		no.logger.Warn().Str("attempt", at.id).Str("server", at.server).Str("error", err.Error()).Msg("server_demand_invalid")
	}
	if de.Leaving {
		no.applyLeaving(at)
	}
	if de.Pause > 0 {
		no.applyPause(at, de.Pause)
	}
	no.applyLimit(at, de)
	return de
}

// applyLeaving records that the server of an attempt is leaving, like its record would.
func (no *Node) applyLeaving(at *attempt) {
	news := false
	no.view.withRoster(func(ro *roster.Roster) { news = ro.MarkLeaving(at.server, at.born) })
	if !news {
		return
	}
	no.logger.Info().Str("attempt", at.id).Str("server", at.server).Int64("born", at.born).Msg("server_leaving_answered")
	no.syncServers(time.Now())
}

// applyPause records that the server of an attempt wants no requests for a while.
func (no *Node) applyPause(at *attempt, pause time.Duration) {
	longer := time.Duration(pauseSpread * no.options.Random() * float64(pause))
	now := time.Now()
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.fleet.PauseAsked(at.server, now.Add(pause+longer)) {
		metricPauses.Add(1)
		no.logger.Info().Str("attempt", at.id).Str("server", at.server).Int64("born", at.born).Dur("asked", pause).
			Dur("kept", pause+longer).Dur("since_choice", now.Sub(at.start)).Msg("server_paused")
	}
}

// applyLimit records the limit that the server of an attempt names, or that it names none.
func (no *Node) applyLimit(at *attempt, de Demands) {
	nodes := no.agents.entryCount()
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.SetNodes(nodes, time.Now())
	changed := false
	if de.Limited {
		changed = no.fleet.LimitNamed(at.server, de.Limit, no.options.Random(), time.Now())
	} else {
		changed = no.fleet.LimitEnded(at.server, at.start)
	}
	if changed {
		no.logger.Info().Str("attempt", at.id).Str("server", at.server).Int64("born", at.born).Bool("limited", de.Limited).
			Float64("limit", de.Limit).Int("nodes", nodes).Msg("server_limit_changed")
	}
}

// noServerError returns the error for a request that no server can take. If servers would, but for a
// pause or a limit that they have asked for, the caller is told when the first of them takes a request
// again, at a random time after that, so that callers do not return together. The node's lock must be
// held.
func (no *Node) noServerError(sr spread.Request, now time.Time) error {
	if sr.SoftwareRequired && !no.fleet.HasSoftware(sr.Service, sr.Software) {
		return notResumableError("no server of the software version " + sr.Software + " that began it is left")
	}
	until, heldBack := no.fleet.TakesAgainAt(sr, now)
	if !heldBack {
		return fault.New(fault.Unavailable, "no backend server of the service can take the request", "send it again").
			WithRetryAfter(notReadyRetryAfter)
	}
	metricHeldBack.Add(1)
	wait := max(defaultRetryAfter, until.Sub(now))
	wait += time.Duration(pauseSpread * no.options.Random() * float64(max(time.Second, wait)))
	return fault.New(fault.Overloaded, "the backend servers of the service take no more requests for now", "send it again").
		WithRetryAfter(wait)
}
