package direct

import (
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

// readDemands reads what the attempt's server asks for in the headers of its answer.
func (rq *request) readDemands(at *attempt, an *pool.Answer) {
	no := rq.no
	de, err := no.options.Protocol.Demands(an.Status, an.Header)
	if err != nil {
		no.logger.Warn().Str("attempt", at.id).Str("server", at.server).Str("error", err.Error()).Msg("server_demand_invalid")
		return
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	earlier := no.limits[at.server]
	if de == earlier {
		return
	}
	no.limits[at.server] = de
	no.logger.Info().Str("attempt", at.id).Str("server", at.server).Int64("born", at.born).Bool("limited", de.Limited).Float64("limit", de.Limit).
		Bool("earlier_limited", earlier.Limited).Float64("earlier_limit", earlier.Limit).Msg("server_limit_changed")
}
