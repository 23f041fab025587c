package runs

import (
	"time"

	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// Keep is how long an attempt without a claim is remembered after its end.
	Keep = time.Minute
	// ClaimAgeMax is the age of a claim, in log time, beyond which its attempt is
	// neither run nor voided.
	ClaimAgeMax = 5 * time.Minute
	// claimKeep is the age of a claim, in log time, beyond which its attempt may be
	// forgotten. It exceeds ClaimAgeMax, so an unknown attempt that is still young
	// has never been here.
	claimKeep = 2 * ClaimAgeMax
)

// Phase is where an attempt stands.
type Phase int

// Phases.
const (
	Waiting Phase = iota
	Running
	Finished
	Refused
	Voided
)

// Decision is the answer to a dispatch.
type Decision string

// Decisions.
const (
	Accept    Decision = "accept"
	Duplicate Decision = "duplicate"
	WrongBoot Decision = "wrong_boot"
	WasVoided Decision = "voided"
	TooOld    Decision = "claim_too_old"
)

// run is one attempt.
type run struct {
	phase     Phase
	claimedAt int64
}

// ended is an attempt that has ended, with the time when it may be forgotten.
type ended struct {
	attempt   string
	claimedAt int64
	until     time.Time
}

// Table holds the attempts of one agent boot.
type Table struct {
	boot      string
	runs      map[string]*run
	unclaimed []ended
	claimed   []ended
	logTime   int64
}

// NewTable returns an empty table for a boot.
func NewTable(boot string) *Table {
	return &Table{boot: boot, runs: map[string]*run{}}
}

// SeeLogTime takes a time read off the log, in Unix milliseconds.
func (ta *Table) SeeLogTime(millis int64) {
	ta.logTime = max(ta.logTime, millis)
}

// Admit decides whether a dispatched attempt may run and remembers it.
func (ta *Table) Admit(di *wire.Dispatch, now time.Time) Decision {
	if di.Boot != ta.boot {
		return WrongBoot
	}
	ta.SeeLogTime(di.ClaimedAt)
	ta.forget(now)
	if ru := ta.runs[di.Attempt]; ru != nil {
		if ru.phase == Voided {
			return WasVoided
		}
		return Duplicate
	}
	if di.ClaimedAt > 0 && ta.tooOld(di.ClaimedAt) {
		return TooOld
	}
	ta.runs[di.Attempt] = &run{phase: Waiting, claimedAt: di.ClaimedAt}
	return Accept
}

// Start marks an attempt as running and tells whether it may.
func (ta *Table) Start(attempt string) bool {
	ru := ta.runs[attempt]
	if ru == nil || ru.phase != Waiting {
		return false
	}
	ru.phase = Running
	return true
}

// End marks an attempt as finished or refused.
func (ta *Table) End(attempt string, ph Phase, now time.Time) {
	ru := ta.runs[attempt]
	if ru == nil || ru.phase == Voided {
		return
	}
	ru.phase = ph
	ta.expire(attempt, ru, now)
}

// Void makes sure that an attempt never runs, or tells what became of it. An
// attempt without a claim is remembered for Keep only, so its verdict is worth
// nothing to a sender that waited longer.
func (ta *Table) Void(vo *wire.Void, now time.Time) wire.VerdictOutcome {
	if vo.Boot != ta.boot {
		return wire.VerdictOutcomeUnknown
	}
	ta.SeeLogTime(vo.ClaimedAt)
	ta.forget(now)
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
		ta.expire(vo.Attempt, ru, now)
	case Voided:
	}
	return wire.VerdictOutcomeVoided
}

// tooOld tells whether a claim is older than the table answers for.
func (ta *Table) tooOld(claimedAt int64) bool {
	return ta.logTime-claimedAt > ClaimAgeMax.Milliseconds()
}

// expire sets the time when an attempt may be forgotten.
func (ta *Table) expire(attempt string, ru *run, now time.Time) {
	en := ended{attempt: attempt, claimedAt: ru.claimedAt, until: now.Add(Keep)}
	if ru.claimedAt > 0 {
		ta.claimed = append(ta.claimed, en)
		return
	}
	ta.unclaimed = append(ta.unclaimed, en)
}

// forget drops attempts that ended long ago: by the clock where there is no claim, by log time where there is one.
func (ta *Table) forget(now time.Time) {
	for len(ta.unclaimed) > 0 && !now.Before(ta.unclaimed[0].until) {
		delete(ta.runs, ta.unclaimed[0].attempt)
		ta.unclaimed = ta.unclaimed[1:]
	}
	for len(ta.claimed) > 0 && ta.logTime-ta.claimed[0].claimedAt > claimKeep.Milliseconds() {
		delete(ta.runs, ta.claimed[0].attempt)
		ta.claimed = ta.claimed[1:]
	}
}
