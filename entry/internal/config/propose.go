package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/plat"
)

const (
	proposeTimeout = 5 * time.Second
	proposeWait    = time.Second
)

// Propose appends a change and returns what became of it once it was read back.
// A change whose id is known is not appended again. An unavailable error with the
// outcome unknown means that the same change may be proposed again.
func (fo *Follower) Propose(ctx context.Context, ch record.Change) (record.Outcome, error) {
	if oc, ok := fo.View().State.Outcome(ch.ID); ok {
		return oc, nil
	}
	data, err := record.Encode(&record.Envelope{Change: &ch})
	if err != nil {
		return record.Outcome{}, err
	}
	changed := fo.Changed()
	err = fo.log.Append(ctx, Stream, [][]byte{data})
	if errors.Is(err, plat.ErrNotAppended) {
		return record.Outcome{}, fault.New(fault.Unavailable, "the platform's log takes no changes now",
			"send the same change again").WithRetryAfter(proposeWait)
	}
	timeout := time.NewTimer(proposeTimeout)
	defer timeout.Stop()
	for {
		if oc, ok := fo.View().State.Outcome(ch.ID); ok {
			return oc, nil
		}
		select {
		case <-changed:
			changed = fo.Changed()
		case <-timeout.C:
			return record.Outcome{}, fault.New(fault.Unavailable, "whether the change was accepted is not known yet",
				"send the same change with the same id again").WithOutcome(fault.Unknown).WithRetryAfter(proposeWait)
		case <-ctx.Done():
			return record.Outcome{}, errors.Wrap(ctx.Err(), "config: propose")
		}
	}
}
