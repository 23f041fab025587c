package runs

import (
	"time"

	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// UnclaimedRetention is how long an attempt without a claim stays in the table after its end.
	UnclaimedRetention = time.Minute
	// MaxClaimAge is the age of a claim, in log time, beyond which its attempt is neither
	// run nor voided if the table does not know it.
	MaxClaimAge = 5 * time.Minute
	// claimRetention is the age of a claim, in log time, beyond which its attempt is deleted
	// once it has ended. It exceeds MaxClaimAge, so an attempt that is not in the table and
	// whose claim is at most MaxClaimAge old was never received.
	claimRetention = 2 * MaxClaimAge
)

// Phase is the state of an attempt.
type Phase int

// Phases of an attempt.
const (
	// Waiting means that the attempt was accepted and has not started.
	Waiting Phase = iota
	// Running means that the attempt has started and not ended.
	Running
	// Finished means that the attempt ended after it ran.
	Finished
	// Refused means that the attempt was accepted, but ended without having run.
	Refused
	// Voided means that the attempt must never run.
	Voided
)

// Decision is the answer to a dispatched attempt; the answer to a Void is a wire.Verdict. Its
// text is the reason of the refusal that the entry node gets.
type Decision string

// Decisions on an attempt.
const (
	// Accept means that the attempt may run.
	Accept Decision = "accept"
	// Duplicate means that the attempt was received before and was not voided.
	Duplicate Decision = "duplicate"
	// WrongBoot means that the attempt is addressed to another boot of the agent.
	WrongBoot Decision = "wrong_boot"
	// WasVoided means that the attempt was voided before.
	WasVoided Decision = "voided"
	// ClaimTooOld means that the claim is older than MaxClaimAge.
	ClaimTooOld Decision = "claim_too_old"
)

// run is the state of one attempt.
type run struct {
	phase Phase
	// claimedAt is the log time of the claim in Unix milliseconds, zero without a claim.
	claimedAt int64
	// keepUntil is until when an ended attempt without a claim stays in the table. A void after
	// the end extends it.
	keepUntil time.Time
}

// endedRun is an attempt that has ended, with what decides when it is deleted.
type endedRun struct {
	attempt   string
	claimedAt int64
	// keepUntil decides for attempts without a claim, claimedAt for those with one.
	keepUntil time.Time
}

// Table holds the attempts that were dispatched to one boot of an agent.
type Table struct {
	boot string
	runs map[string]*run
	// endedUnclaimed and endedClaimed hold the ended attempts without and with a claim, in
	// the order of their ends.
	endedUnclaimed []endedRun
	endedClaimed   []endedRun
	logTime        int64
}

// NewTable returns an empty table for the boot of an agent with the given ID.
func NewTable(boot string) *Table {
	return &Table{boot: boot, runs: map[string]*run{}}
}

// AdvanceLogTime advances the log time of the table to millis, a time of a log record in Unix
// milliseconds. Earlier times are ignored.
func (ta *Table) AdvanceLogTime(millis int64) {
	ta.logTime = max(ta.logTime, millis)
}

// Admit decides whether a dispatched attempt may run, and adds it to the table if so.
func (ta *Table) Admit(di *wire.Dispatch, now time.Time) Decision {
	if di.Boot != ta.boot {
		return WrongBoot
	}
	ta.AdvanceLogTime(di.ClaimedAt)
	ta.removeExpired(now)
	if ru := ta.runs[di.Attempt]; ru != nil {
		if ru.phase == Voided {
			return WasVoided
		}
		return Duplicate
	}
	if di.ClaimedAt > 0 && ta.tooOld(di.ClaimedAt) {
		return ClaimTooOld
	}
	ta.runs[di.Attempt] = &run{phase: Waiting, claimedAt: di.ClaimedAt}
	return Accept
}

// Start marks an attempt as running. If it returns false, the attempt was not waiting and must
// not run.
func (ta *Table) Start(attempt string) bool {
	ru := ta.runs[attempt]
	if ru == nil || ru.phase != Waiting {
		return false
	}
	ru.phase = Running
	return true
}

// End sets the phase of an attempt that has ended, which is Finished or Refused. It has no
// effect on a voided attempt.
func (ta *Table) End(attempt string, ph Phase, now time.Time) {
	ru := ta.runs[attempt]
	if ru == nil || ru.phase == Voided {
		return
	}
	ru.phase = ph
	ta.scheduleRemoval(attempt, ru, now)
}

// Void ensures that an attempt never runs, unless it has started already or its state is not
// known, and returns the resulting state. An attempt without a claim stays in the table for
// UnclaimedRetention after its end, so a sender that waited longer cannot rely on the answer.
func (ta *Table) Void(vo *wire.Void, now time.Time) wire.VerdictOutcome {
	if vo.Boot != ta.boot {
		return wire.VerdictOutcomeUnknown
	}
	ta.AdvanceLogTime(vo.ClaimedAt)
	ta.removeExpired(now)
	ru := ta.runs[vo.Attempt]
	if ru == nil {
		if vo.ClaimedAt > 0 && ta.tooOld(vo.ClaimedAt) {
			return wire.VerdictOutcomeUnknown
		}
		ru = &run{claimedAt: vo.ClaimedAt}
		ta.runs[vo.Attempt] = ru
	}
	switch ru.phase {
	case Running:
		return wire.VerdictOutcomeRunning
	case Finished:
		return wire.VerdictOutcomeAnswered
	case Waiting, Refused:
		ru.phase = Voided
		ta.scheduleRemoval(vo.Attempt, ru, now)
	case Voided:
	}
	return wire.VerdictOutcomeVoided
}

// tooOld reports whether a claim is older than MaxClaimAge.
func (ta *Table) tooOld(claimedAt int64) bool {
	return ta.logTime-claimedAt > MaxClaimAge.Milliseconds()
}

// scheduleRemoval adds an attempt that has ended to those that removeExpired deletes.
func (ta *Table) scheduleRemoval(attempt string, ru *run, now time.Time) {
	ru.keepUntil = now.Add(UnclaimedRetention)
	er := endedRun{attempt: attempt, claimedAt: ru.claimedAt, keepUntil: ru.keepUntil}
	if ru.claimedAt > 0 {
		ta.endedClaimed = append(ta.endedClaimed, er)
		return
	}
	ta.endedUnclaimed = append(ta.endedUnclaimed, er)
}

// removeExpired deletes the attempts that ended long enough ago. The clock decides for attempts
// without a claim. Those with a claim are kept at least until the claim is older than
// claimRetention, by log time, and longer if an attempt with a newer claim ended before them.
func (ta *Table) removeExpired(now time.Time) {
	for len(ta.endedUnclaimed) > 0 && !now.Before(ta.endedUnclaimed[0].keepUntil) {
		attempt := ta.endedUnclaimed[0].attempt
		if ru := ta.runs[attempt]; ru != nil && !now.Before(ru.keepUntil) {
			delete(ta.runs, attempt)
		}
		ta.endedUnclaimed = ta.endedUnclaimed[1:]
	}
	for len(ta.endedClaimed) > 0 && ta.logTime-ta.endedClaimed[0].claimedAt > claimRetention.Milliseconds() {
		delete(ta.runs, ta.endedClaimed[0].attempt)
		ta.endedClaimed = ta.endedClaimed[1:]
	}
}
