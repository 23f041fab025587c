package claim

import "github.com/bambooladder/bambooladder/core/fault"

// Verdict is what to do with a call that carries a key.
type Verdict int

// Verdicts.
const (
	// Append means that the key is free and a claim may be appended.
	Append Verdict = iota
	// Replay means that the answer is kept in the holder.
	Replay
	// Resolve means that the holder's attempt has no answer yet and must be resolved with its agent.
	Resolve
)

// Call is a call that carries a key.
type Call struct {
	Key      string
	KeyTime  int64
	BodyHash string
}

// expiredKey returns the error for a key older than the window.
func expiredKey() *fault.Error {
	return fault.New(fault.KeyExpired, "the idempotency key is older than an hour",
		"look up whether the call took effect, then send it with a new key")
}

// earlyKey returns the error for a key whose time lies too far ahead of the log's.
func earlyKey() *fault.Error {
	return fault.New(fault.KeyInvalid, "the idempotency key's time lies in the future",
		"set the caller's clock and make a new key")
}

// Decide returns what to do with a call, or the typed error that refuses it. The
// table's time is that of its last record, which may be old, so a key ahead of it
// is judged when its claim is folded.
func (ta *Table) Decide(ca Call) (Verdict, *Holder, error) {
	if expired(ca.KeyTime, ta.logTime) {
		return Append, nil, expiredKey()
	}
	ho := ta.holders[ca.Key]
	if ho == nil && !ta.covers(ca.KeyTime) {
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
