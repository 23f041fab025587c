package claims

import (
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/claim"
	"github.com/bambooladder/bambooladder/core/record"
)

// lostMax bounds the remembered claims that did not win.
const lostMax = 4096

// claimFold is the fold of one claim stream.
type claimFold struct {
	table *claim.Table
	// lost holds the claims that did not win, each with the reason or nil.
	lost map[string]error
	lg   zerolog.Logger
}

// Next returns the next offset to fold.
func (cf *claimFold) Next() int64 { return cf.table.Next() }

// Restart begins again behind expired records.
func (cf *claimFold) Restart(first int64) { cf.table = claim.NewTable(first) }

// Apply folds one record and returns the stream's time.
func (cf *claimFold) Apply(en record.LogRecord) int64 {
	effect, ok := cf.table.Apply(en)
	if !ok {
		cf.lg.Error().Int64("offset", en.Offset).Msg("claim_out_of_order")
	}
	if effect.Lost != nil {
		if len(cf.lost) >= lostMax {
			clear(cf.lost)
		}
		cf.lost[effect.Lost.Attempt] = effect.Reason
	}
	return cf.table.LogTime()
}

// outcome tells when a claim won, whether it did, whether that is known yet, and
// the reason why no claim for its key can win.
func (cf *claimFold) outcome(cl record.Claim) (int64, bool, bool, error) {
	if ho := cf.table.Holder(cl.Key); ho != nil && ho.Claim.Attempt == cl.Attempt {
		return ho.ClaimedAt, true, true, nil
	}
	reason, lost := cf.lost[cl.Attempt]
	delete(cf.lost, cl.Attempt)
	return 0, false, lost, reason
}
