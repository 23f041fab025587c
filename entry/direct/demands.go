package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

// applyDemands records what the attempt's server asks for in the headers of its answer.
func (rq *request) applyDemands(at *attempt, an *pool.Answer) {
	no := rq.no
	de, err := no.options.Protocol.Demands(an.Status, an.Header)
	if err != nil {
		no.logger.Warn().Str("attempt", at.id).Str("server", at.server).Str("error", err.Error()).Msg("server_demand_invalid")
	}
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

// noServerError returns the error for a request that no server can take. If servers would, but for the
// limits that they have named, the caller is told when the first of them takes a request again, at a
// random time after that, so that callers do not return together. The node's lock must be held.
func (no *Node) noServerError(service string, now time.Time) error {
	until, limited := no.fleet.LimitedUntil(service, now)
	if !limited {
		return fault.New(fault.Unavailable, "no backend server of the service can take the request", "send it again").
			WithRetryAfter(notReadyRetryAfter)
	}
	metricLimited.Add(1)
	wait := time.Duration((1 + no.options.Random()) * float64(until.Sub(now)))
	return fault.New(fault.Overloaded, "the backend servers of the service have got as many requests as they take", "send it again").
		WithRetryAfter(max(defaultRetryAfter, wait))
}
