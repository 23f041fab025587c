package direct

import (
	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/reader"
)

// errEpochInvalid means that an answer of the log cannot be placed in its present epoch.
var errEpochInvalid = errors.New("direct: the answer of the log is of an earlier epoch or of none; read again")

// acceptEpoch records the epoch that an answer of the log stated, and reports whether it is the present
// one. If it has risen, all topics are read again from the start; what is known stays in use.
func (fo *follower) acceptEpoch(epoch int64) bool {
	verdict, present := fo.no.view.observeEpoch(epoch)
	switch verdict {
	case reader.EpochInvalid:
		fo.no.logger.Warn().Str("topic", fo.topic.String()).Int64("epoch", epoch).Int64("present_epoch", present).Msg("log_epoch_invalid")
		return false
	case reader.EpochRisen:
		metricEpochChanges.Add(1)
		fo.no.logger.Warn().Str("topic", fo.topic.String()).Int64("epoch", epoch).Msg("log_epoch_risen")
		for _, other := range fo.no.feeds.followers {
			other.wake()
		}
	case reader.EpochPresent:
	}
	return true
}

// enterEpoch makes the follower start again if the log has entered a later epoch. The caller must hold
// the follower's lock.
func (fo *follower) enterEpoch() {
	present := fo.no.view.presentEpoch()
	if fo.epoch == present {
		return
	}
	fo.epoch, fo.nextOffset, fo.hasNewest = present, 0, false
}
