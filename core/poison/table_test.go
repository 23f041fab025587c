package poison

import (
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/record"
)

func TestDecideFollowsCrashesAndProbes(t *testing.T) {
	ta, offset, millis := &Table{}, int64(0), int64(1_000_000)
	apply := func(env record.Envelope) {
		data, err := record.Encode(&env)
		if err != nil {
			t.Fatal(err)
		}
		ta.Apply(record.LogRecord{Offset: offset, Time: millis, Data: data})
		offset++
	}
	expect := func(condition string, want Verdict) {
		t.Helper()
		if got := ta.Decide("print"); got != want {
			t.Fatalf("%s: verdict %s, want %s", condition, got, want)
		}
	}
	expect("no crash", Free)
	apply(record.Envelope{CrashReport: &record.CrashReport{Fingerprint: "print", Crash: "engine-1", Attempt: "a"}})
	apply(record.Envelope{CrashReport: &record.CrashReport{Fingerprint: "print", Crash: "engine-1", Attempt: "b"}})
	expect("one crash, reported twice", Probe)
	apply(record.Envelope{Probe: &record.Probe{Fingerprint: "print", Attempt: "c"}})
	apply(record.Envelope{Probe: &record.Probe{Fingerprint: "print", Attempt: "d"}})
	if !ta.HoldsProbe("print", "c") || ta.HoldsProbe("print", "d") {
		t.Fatal("the probe does not belong to the first attempt that asked for it")
	}
	expect("a probe is under way", Pending)
	apply(record.Envelope{Clear: &record.Clear{Fingerprint: "print", Attempt: "c"}})
	expect("the probe ended without an answer", Probe)
	apply(record.Envelope{Probe: &record.Probe{Fingerprint: "print", Attempt: "d"}})
	apply(record.Envelope{Clear: &record.Clear{Fingerprint: "print", Attempt: "d", Answered: true}})
	expect("the probe was answered", Free)
	apply(record.Envelope{CrashReport: &record.CrashReport{Fingerprint: "print", Crash: "engine-1", Attempt: "e"}})
	apply(record.Envelope{CrashReport: &record.CrashReport{Fingerprint: "print", Crash: "engine-2", Attempt: "f"}})
	expect("two crashes", Blocked)
	millis += Retention.Milliseconds() + time.Minute.Milliseconds()
	apply(record.Envelope{})
	expect("the last crash is long enough ago", Free)
}

func TestFingerprintDiffersForOtherBodyOrAdapterVersion(t *testing.T) {
	av := conf.AdapterVersion{Adapter: "a", Version: 1}
	if Fingerprint(av, []byte("x")) == Fingerprint(av, []byte("y")) || Fingerprint(av, nil) == Fingerprint(conf.AdapterVersion{Adapter: "a", Version: 2}, nil) {
		t.Fatal("requests with different bodies or adapter versions have the same fingerprint")
	}
}
