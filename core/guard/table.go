package guard

import (
	"encoding/hex"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/record"
)

const (
	// Keep is how long a fingerprint is remembered after its last crash, in log time.
	Keep = 10 * time.Minute
	// trialMax is how long a trial keeps others from starting one, in log time.
	trialMax = time.Minute
	// crashesMax is the number of crashes that block a fingerprint.
	crashesMax = 2
)

// Verdict is what may be done with a request.
type Verdict int

// Verdicts.
const (
	// Free means that the request was at no crash.
	Free Verdict = iota
	// Trial means that the request may run once, apart from others, if its trial wins.
	Trial
	// Pending means that another attempt is on trial.
	Pending
	// Blocked means that the request crashed engines and does not run.
	Blocked
)

var verdictNames = [...]string{"free", "trial", "pending", "blocked"}

// String returns the verdict's name in logs.
func (ve Verdict) String() string { return verdictNames[ve] }

// Fingerprint returns the hash of adapter and body.
func Fingerprint(av conf.AdapterVersion, body []byte) string {
	ha := xxh3.New()
	_, _ = ha.WriteString(av.String())
	_, _ = ha.Write(body)
	sum := ha.Sum128().Bytes()
	return hex.EncodeToString(sum[:])
}

// suspect is a fingerprint that was at a crash.
type suspect struct {
	crashes map[string]bool
	trial   string
	trialAt int64
	lastAt  int64
}

// Table is the fold of the stream; its zero value starts at offset zero.
type Table struct {
	suspects map[string]*suspect
	next     int64
	logTime  int64
}

// Next returns the next offset to fold.
func (ta *Table) Next() int64 { return ta.next }

// Restart begins again at an offset because the records before it have expired.
func (ta *Table) Restart(first int64) {
	ta.suspects = nil
	ta.next = first
}

// Size returns the number of suspects.
func (ta *Table) Size() int { return len(ta.suspects) }

// Apply folds one record and returns the stream's time in Unix milliseconds.
func (ta *Table) Apply(en record.Entry) int64 {
	ta.next = en.Offset + 1
	ta.logTime = max(ta.logTime, en.Time)
	ta.expire()
	env, err := record.Decode(en.Data)
	if err != nil {
		return ta.logTime
	}
	switch {
	case env.Strike != nil:
		ta.Strike(env.Strike)
	case env.Trial != nil:
		ta.trial(env.Trial)
	case env.Clear != nil:
		if su := ta.suspects[env.Clear.Fingerprint]; su != nil && su.trial == env.Clear.Attempt && len(su.crashes) < crashesMax {
			delete(ta.suspects, env.Clear.Fingerprint)
		}
	}
	return ta.logTime
}

// Strike counts a crash; the same crash counts once, however often it is reported.
func (ta *Table) Strike(sr *record.Strike) {
	if ta.suspects == nil {
		ta.suspects = map[string]*suspect{}
	}
	su := ta.suspects[sr.Fingerprint]
	if su == nil {
		su = &suspect{crashes: map[string]bool{}}
		ta.suspects[sr.Fingerprint] = su
	}
	su.crashes[sr.Crash] = true
	su.lastAt = ta.logTime
	if su.trial == sr.Attempt {
		su.trial = ""
	}
}

// trial lets the first trial win until it has ended or taken too long.
func (ta *Table) trial(tr *record.Trial) {
	su := ta.suspects[tr.Fingerprint]
	if su == nil || su.trial != "" && ta.logTime-su.trialAt < trialMax.Milliseconds() {
		return
	}
	su.trial = tr.Attempt
	su.trialAt = ta.logTime
}

// OnTrial tells whether an attempt holds the trial of a fingerprint.
func (ta *Table) OnTrial(fingerprint, attempt string) bool {
	su := ta.suspects[fingerprint]
	return su != nil && su.trial == attempt && len(su.crashes) < crashesMax
}

// Decide returns what may be done with a request.
func (ta *Table) Decide(fingerprint string) Verdict {
	su := ta.suspects[fingerprint]
	switch {
	case su == nil:
		return Free
	case len(su.crashes) >= crashesMax:
		return Blocked
	case su.trial != "" && ta.logTime-su.trialAt < trialMax.Milliseconds():
		return Pending
	}
	return Trial
}

// expire forgets fingerprints whose last crash is long ago.
func (ta *Table) expire() {
	for fingerprint, su := range ta.suspects {
		if ta.logTime-su.lastAt > Keep.Milliseconds() {
			delete(ta.suspects, fingerprint)
		}
	}
}
