package claims

import (
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/claim"
	"github.com/bambooladder/bambooladder/core/record"
)

// maxLostClaims is the maximum number of remembered claims that did not win their key.
const maxLostClaims = 4096

// claimState is the state of one claim stream. It implements stream.Fold.
type claimState struct {
	table *claim.Table
	// lost has the claims that did not win their key, by attempt. The value is the error if
	// no claim can win the key, or nil if another claim holds it.
	lost map[string]error
	lg   zerolog.Logger
}

// Next returns the offset of the next record to apply.
func (cst *claimState) Next() int64 { return cst.table.Next() }

// Restart empties the table and continues at an offset, because the log has deleted the records
// before it.
func (cst *claimState) Restart(first int64) { cst.table = claim.NewTable(first) }

// Apply applies one record and returns the stream's log time in Unix milliseconds.
func (cst *claimState) Apply(en record.LogRecord) int64 {
	effect, ok := cst.table.Apply(en)
	if !ok {
		cst.lg.Error().Int64("offset", en.Offset).Msg("claim_out_of_order")
	}
	if effect.Lost != nil {
		if len(cst.lost) >= maxLostClaims {
			clear(cst.lost)
		}
		cst.lost[effect.Lost.Attempt] = effect.Reason
	}
	return cst.table.LogTime()
}

// outcome returns the log time of a claim in Unix milliseconds if it won its key, whether it won,
// whether it has been read from the stream yet, and an error if no claim can win its key. It
// forgets a claim that did not win, so that a later call reports it as not read.
func (cst *claimState) outcome(cl record.Claim) (int64, bool, bool, error) {
	if ho := cst.table.Holder(cl.Key); ho != nil && ho.Claim.Attempt == cl.Attempt {
		return ho.ClaimedAt, true, true, nil
	}
	keyErr, lost := cst.lost[cl.Attempt]
	delete(cst.lost, cl.Attempt)
	return 0, false, lost, keyErr
}
