package poison

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
	// probeMax is how long a probe keeps others from starting one, in log time.
	probeMax = time.Minute
	// crashesMax is the number of crashes that block a fingerprint.
	crashesMax = 2
)

// Verdict is what may be done with a request.
type Verdict int

// Verdicts.
const (
	// Free means that the request was at no crash.
	Free Verdict = iota
	// Probe means that the request may run once, apart from others, if its probe wins.
	Probe
	// Pending means that another attempt is on probe.
	Pending
	// Blocked means that the request crashed engines and does not run.
	Blocked
)

var verdictNames = [...]string{"free", "probe", "pending", "blocked"}

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

// quarantine is a fingerprint that was at a crash.
type quarantine struct {
	crashes map[string]bool
	probe   string
	probeAt int64
	lastAt  int64
}

// blocked tells whether the fingerprint crashed too many engines.
func (qu *quarantine) blocked() bool { return len(qu.crashes) >= crashesMax }

// pending tells whether a probe is under way at a log time.
func (qu *quarantine) pending(logTime int64) bool {
	return qu.probe != "" && logTime-qu.probeAt < probeMax.Milliseconds()
}

// Table is the fold of the stream; its zero value starts at offset zero.
type Table struct {
	entries map[string]*quarantine
	next    int64
	logTime int64
}

// Next returns the next offset to fold.
func (ta *Table) Next() int64 { return ta.next }

// Restart begins again at an offset because the records before it have expired.
func (ta *Table) Restart(first int64) {
	ta.entries = nil
	ta.next = first
}

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
	case env.CrashReport != nil:
		ta.Report(env.CrashReport)
	case env.Probe != nil:
		ta.probe(env.Probe)
	case env.Clear != nil:
		ta.clear(env.Clear)
	}
	return ta.logTime
}

// Report counts a crash; the same crash counts once, however often it is reported.
func (ta *Table) Report(cr *record.CrashReport) {
	if ta.entries == nil {
		ta.entries = map[string]*quarantine{}
	}
	qu := ta.entries[cr.Fingerprint]
	if qu == nil {
		qu = &quarantine{crashes: map[string]bool{}}
		ta.entries[cr.Fingerprint] = qu
	}
	qu.crashes[cr.Crash] = true
	qu.lastAt = ta.logTime
	if qu.probe == cr.Attempt {
		qu.probe = ""
	}
}

// probe lets the first probe win until it has ended or taken too long.
func (ta *Table) probe(pb *record.Probe) {
	qu := ta.entries[pb.Fingerprint]
	if qu == nil || qu.pending(ta.logTime) {
		return
	}
	qu.probe = pb.Attempt
	qu.probeAt = ta.logTime
}

// clear ends a probe; the fingerprint leaves quarantine only if the probe was answered.
func (ta *Table) clear(cl *record.Clear) {
	qu := ta.entries[cl.Fingerprint]
	if qu == nil || qu.probe != cl.Attempt {
		return
	}
	qu.probe = ""
	if cl.Answered && !qu.blocked() {
		delete(ta.entries, cl.Fingerprint)
	}
}

// IsProbe tells whether an attempt holds the probe of a fingerprint.
func (ta *Table) IsProbe(fingerprint, attempt string) bool {
	qu := ta.entries[fingerprint]
	return qu != nil && qu.probe == attempt && !qu.blocked()
}

// Decide returns what may be done with a request.
func (ta *Table) Decide(fingerprint string) Verdict {
	qu := ta.entries[fingerprint]
	switch {
	case qu == nil:
		return Free
	case qu.blocked():
		return Blocked
	case qu.pending(ta.logTime):
		return Pending
	}
	return Probe
}

// expire forgets fingerprints whose last crash is long ago.
func (ta *Table) expire() {
	for fingerprint, qu := range ta.entries {
		if ta.logTime-qu.lastAt > Keep.Milliseconds() {
			delete(ta.entries, fingerprint)
		}
	}
}
