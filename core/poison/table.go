package poison

import (
	"encoding/hex"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/record"
)

const (
	// Retention is how long a fingerprint stays in the table after its last crash, in log time.
	Retention = 10 * time.Minute
	// probeTimeout is the time, in log time, after which a probe that has not ended no
	// longer prevents the next one.
	probeTimeout = time.Minute
	// blockingCrashes is the number of crashes at which a fingerprint becomes blocked.
	blockingCrashes = 2
)

// Verdict is whether and how a request may run.
type Verdict int

// Verdicts on a request.
const (
	// Free means that the request was not in flight at any known crash and may run.
	Free Verdict = iota
	// Probe means that the request may run once, on its own, if its attempt gets the probe.
	Probe
	// Pending means that another attempt has the probe.
	Pending
	// Blocked means that the request was in flight at too many crashes and must not run.
	Blocked
)

var verdictNames = [...]string{"free", "probe", "pending", "blocked"}

// String returns the name of the verdict in log lines.
func (ve Verdict) String() string { return verdictNames[ve] }

// Fingerprint returns a hash of the adapter version and the body of a request, in hex.
func Fingerprint(av conf.AdapterVersion, body []byte) string {
	ha := xxh3.New()
	_, _ = ha.WriteString(av.String())
	_, _ = ha.Write(body)
	sum := ha.Sum128().Bytes()
	return hex.EncodeToString(sum[:])
}

// RequestFingerprint returns a hash, in hex, of what makes two requests the same one to a backend
// server: how it is addressed, the adapter and the body.
func RequestFingerprint(method, host, target, adapter string, body []byte) string {
	ha := xxh3.New()
	for _, part := range [...]string{method, host, target, adapter} {
		_, _ = ha.WriteString(part)
		_, _ = ha.Write([]byte{0})
	}
	_, _ = ha.Write(body)
	sum := ha.Sum128().Bytes()
	return hex.EncodeToString(sum[:])
}

// quarantine is the state of a fingerprint that was in flight at a crash. Its times are log
// times in Unix milliseconds.
type quarantine struct {
	// crashes is the set of the IDs of the crashes.
	crashes map[string]bool
	// probe is the ID of the attempt that has the probe, empty for none.
	probe          string
	probeStartedAt int64
	lastCrashAt    int64
}

// blocked reports whether the fingerprint was in flight at too many crashes.
func (qu *quarantine) blocked() bool { return len(qu.crashes) >= blockingCrashes }

// probePending reports whether a probe is under way at the given log time.
func (qu *quarantine) probePending(logTime int64) bool {
	return qu.probe != "" && logTime-qu.probeStartedAt < probeTimeout.Milliseconds()
}

// Table holds the fingerprints in quarantine. The zero value starts at offset zero.
type Table struct {
	quarantines map[string]*quarantine
	next        int64
	logTime     int64
}

// Next returns the offset of the next record to apply.
func (ta *Table) Next() int64 { return ta.next }

// Restart empties the table and continues at the given offset, because the log has deleted
// the records before it.
func (ta *Table) Restart(first int64) {
	ta.quarantines = nil
	ta.next = first
}

// Apply applies one record and returns the newest time of the records so far, in Unix
// milliseconds.
func (ta *Table) Apply(lr record.LogRecord) int64 {
	ta.next = lr.Offset + 1
	ta.logTime = max(ta.logTime, lr.Time)
	ta.removeExpired()
	env, err := record.Decode(lr.Data)
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

// Report counts a crash at which a fingerprint was in flight, and ends the probe of the
// reported attempt. A crash that is reported again does not count again, but restarts the
// retention of the fingerprint.
func (ta *Table) Report(cr *record.CrashReport) {
	if ta.quarantines == nil {
		ta.quarantines = map[string]*quarantine{}
	}
	qu := ta.quarantines[cr.Fingerprint]
	if qu == nil {
		qu = &quarantine{crashes: map[string]bool{}}
		ta.quarantines[cr.Fingerprint] = qu
	}
	qu.crashes[cr.Crash] = true
	qu.lastCrashAt = ta.logTime
	if qu.probe == cr.Attempt {
		qu.probe = ""
	}
}

// probe applies a Probe record: it gives the probe of a fingerprint to an attempt, unless
// another probe is pending.
func (ta *Table) probe(pb *record.Probe) {
	qu := ta.quarantines[pb.Fingerprint]
	if qu == nil || qu.probePending(ta.logTime) {
		return
	}
	qu.probe = pb.Attempt
	qu.probeStartedAt = ta.logTime
}

// clear applies a Clear record: it ends a probe. The fingerprint leaves quarantine if the
// probe was answered and the fingerprint is not blocked.
func (ta *Table) clear(cl *record.Clear) {
	qu := ta.quarantines[cl.Fingerprint]
	if qu == nil || qu.probe != cl.Attempt {
		return
	}
	qu.probe = ""
	if cl.Answered && !qu.blocked() {
		delete(ta.quarantines, cl.Fingerprint)
	}
}

// HoldsProbe reports whether an attempt was the last to get the probe of a fingerprint that
// is not blocked, and the probe has not ended. The probe may have timed out.
func (ta *Table) HoldsProbe(fingerprint, attempt string) bool {
	qu := ta.quarantines[fingerprint]
	return qu != nil && qu.probe == attempt && !qu.blocked()
}

// Decide returns the verdict on requests with the given fingerprint.
func (ta *Table) Decide(fingerprint string) Verdict {
	qu := ta.quarantines[fingerprint]
	switch {
	case qu == nil:
		return Free
	case qu.blocked():
		return Blocked
	case qu.probePending(ta.logTime):
		return Pending
	}
	return Probe
}

// removeExpired deletes the fingerprints whose last crash is more than Retention ago.
func (ta *Table) removeExpired() {
	for fingerprint, qu := range ta.quarantines {
		if ta.logTime-qu.lastCrashAt > Retention.Milliseconds() {
			delete(ta.quarantines, fingerprint)
		}
	}
}
