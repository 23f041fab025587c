package direct

import (
	"context"
	"math"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/wire"
)

// frameReceived handles a frame that an entry node sent.
func (br *Broker) frameReceived(ctx context.Context, se *session, fr *wire.Frame, now time.Time) {
	switch {
	case fr.Reserve != nil && br.sessions[se.name] != se:
		// The entry node has given up this connection, and with it what it reserved there.
		br.lg.Info().Str("attempt", fr.Reserve.Attempt).Str("entry", se.name).Msg("late_reserve_ignored")
		return
	case fr.Reserve != nil && fr.Reserve.Held:
		br.executeActions(ctx, br.en.RestoreGrant(requestFromFrame(se, fr.Reserve, now), now))
	case fr.Reserve != nil:
		br.executeActions(ctx, br.en.Reserve(requestFromFrame(se, fr.Reserve, now), now))
	case fr.Started != nil:
		br.executeActions(ctx, br.en.Started(fr.Started.Attempt, now))
	case fr.Release != nil:
		br.release(ctx, fr.Release, now)
	case fr.Prepare != nil:
		br.executeActions(ctx, br.en.Prepare(grant.Assignment{
			Model: fr.Prepare.Model, Slots: fr.Prepare.Slots, Server: fr.Prepare.Server, Born: fr.Prepare.Born,
		}, now))
	case fr.CrashReport != nil:
		br.passCrash(ctx, se, fr.CrashReport, now)
		return
	case fr.PartReport != nil:
		br.passParts(ctx, se, fr.PartReport, now)
		return
	case br.answerQuery(ctx, se, fr, now):
		return
	case fr.Origins != nil:
		br.keepOrigins(fr.Origins, now)
		return
	case fr.Versions != nil:
		br.keepVersions(ctx, se, fr.Versions, now)
		return
	}
	br.markHoldingsStale()
}

// answerQuery answers a frame that asks for something other than a grant, and reports whether it is one.
func (br *Broker) answerQuery(ctx context.Context, se *session, fr *wire.Frame, now time.Time) bool {
	switch {
	case fr.LeaseQuery != nil:
		br.answerLeaseQuery(ctx, se, fr.LeaseQuery, now)
	case fr.QuotaQuery != nil:
		br.answerQuotaQuery(ctx, se, fr.QuotaQuery, now)
	case fr.OriginQuery != nil:
		br.answerOriginQuery(ctx, se, fr.OriginQuery, now)
	default:
		return false
	}
	return true
}

// release ends the grant or the wait of an attempt. The ending Missing means that the engine did not
// run the request because it lacked the adapter.
func (br *Broker) release(ctx context.Context, re *wire.Release, now time.Time) {
	br.lg.Debug().Str("attempt", re.Attempt).Str("ending", string(re.Ending)).Msg("grant_released")
	if re.Ending == wire.ReleaseEndingMissing {
		br.executeActions(ctx, br.en.AdapterNotFound(re.Attempt, now))
		return
	}
	br.executeActions(ctx, br.en.Release(re.Attempt, time.Duration(re.Pause)*time.Millisecond, now))
}

// requestFromFrame converts a Reserve frame to a grant request.
func requestFromFrame(se *session, re *wire.Reserve, now time.Time) grant.Request {
	goalAt := time.Time{}
	if re.Goal > 0 {
		goalAt = now.Add(time.Duration(re.Goal) * time.Millisecond)
	}
	return grant.Request{
		Attempt: re.Attempt, Entry: se.name, Key: grant.Key{Model: re.Model, Adapter: re.Adapter},
		Version: re.Version, VersionMin: versionMin(re), Urgency: re.Urgency, PromptTokens: min(re.PromptTokens, math.MaxInt32),
		OutputTokens: min(re.OutputTokens, math.MaxInt32), Organisation: re.Organisation, GoalAt: goalAt, BacklogMax: time.Duration(re.BacklogMax) * time.Millisecond, PauseMax: time.Duration(re.PauseMax) * time.Millisecond,
		Arrived: now, Deadline: now.Add(time.Duration(re.Budget) * time.Millisecond),
	}
}

// versionMin returns the oldest version of an adapter that a request may use. An entry node of an earlier version
// tells only whether it must be the newest one.
func versionMin(re *wire.Reserve) int {
	if re.VersionRequired {
		return re.Version
	}
	return re.VersionMin
}
