package claim

import "github.com/bambooladder/bambooladder/core/fault"

// Verdict is what to do with a call that has an idempotency key.
type Verdict int

// Verdicts on a call.
const (
	// Append means that no claim holds the key, so a claim may be appended to the stream.
	Append Verdict = iota
	// Replay means that the answer of the holder's attempt is recorded. It is sent again if it
	// was kept.
	Replay
	// Resolve means that the holder's attempt has no recorded answer yet. Its agent must be
	// asked what became of it.
	Resolve
)

// Call identifies a call that has an idempotency key.
type Call struct {
	// Key is the key that is used in the stream: team, service and caller's key.
	Key string
	// KeyTime is the time that the key contains, in Unix milliseconds.
	KeyTime int64
	// BodyHash tells apart calls that use the same key.
	BodyHash string
}

// expiredKeyError returns the error for a key that is older than KeyLifetime.
func expiredKeyError() *fault.Error {
	return fault.New(fault.KeyExpired, "the idempotency key is older than an hour",
		"look up whether the call took effect, then send it with a new key")
}

// futureKeyError returns the error for a key whose time is too far ahead of the log time.
func futureKeyError() *fault.Error {
	return fault.New(fault.KeyInvalid, "the idempotency key's time lies in the future",
		"set the caller's clock and make a new key")
}

// Decide returns what to do with a call and the holder of its key, or a *fault.Error if the
// call is refused. It doesn't refuse keys from the future: the log time of the table is that
// of the last record, which may be old. Apply checks them when it applies the claim. The verdict
// has no meaning if there is an error.
func (ta *Table) Decide(ca Call) (Verdict, *Holder, error) {
	if expired(ca.KeyTime, ta.logTime) {
		return Append, nil, expiredKeyError()
	}
	ho := ta.holders[ca.Key]
	if ho == nil && !ta.hasAllClaims(ca.KeyTime) {
		return Append, nil, fault.New(fault.KeyExpired, "the log no longer keeps the time of the idempotency key",
			"look up whether the call took effect, then send it with a new key")
	}
	switch {
	case ho == nil:
		return Append, nil, nil
	case ho.Claim.BodyHash != ca.BodyHash:
		return Append, nil, fault.New(fault.KeyReused, "the idempotency key was used for another call",
			"make a new key for each call")
	case ho.Done != nil:
		return Replay, ho, nil
	}
	return Resolve, ho, nil
}
