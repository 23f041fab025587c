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
	// proposeRetryAfter is the suggested wait before a change is proposed again.
	proposeRetryAfter = time.Second
)

// Propose appends a change to the log, waits until it is read back and returns its outcome. A
// change whose ID is known already is not appended again. An unavailable error with an unknown
// outcome means that the change may have been appended; it is safe to propose it again with the
// same ID.
func (fo *Follower) Propose(ctx context.Context, ch record.Change) (record.Outcome, error) {
	if oc, ok := fo.View().State.Outcome(ch.ID); ok {
		return oc, nil
	}
	data, err := record.Encode(&record.Envelope{Change: &ch})
	if err != nil {
		return record.Outcome{}, err
	}
	changed := fo.Changed()
	err = fo.log.Append(ctx, SettingsStream, [][]byte{data})
	if errors.Is(err, plat.ErrNotAppended) {
		return record.Outcome{}, fault.New(fault.Unavailable, "the platform's log takes no changes now",
			"send the same change again").WithRetryAfter(proposeRetryAfter)
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
				"send the same change with the same id again").WithOutcome(fault.Unknown).WithRetryAfter(proposeRetryAfter)
		case <-ctx.Done():
			return record.Outcome{}, errors.Wrap(ctx.Err(), "config: propose")
		}
	}
}
