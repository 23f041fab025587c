package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/uuid"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/core/record"
)

// keyAt returns a UUID of version 7 with the given time in Unix milliseconds. Keys of the
// same time differ by their number.
func keyAt(millis int64, number byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: number}
	for ix := range 6 {
		id[ix] = byte(millis >> (8 * (5 - ix)))
	}
	return id.String()
}

// encode returns a record of the stream at the given offset and log time.
func encode(tb testing.TB, offset, millis int64, env record.Envelope) record.LogRecord {
	tb.Helper()
	data, err := record.Encode(&env)
	if err != nil {
		tb.Fatal(err)
	}
	return record.LogRecord{Offset: offset, Time: millis, Data: data}
}

// TestKeyIsWonAgainOnlyAfterRelease guards against two attempts that run for one key. Over
// random streams, a key may be won again only after its holder was released, also when
// record times go back and keys expire.
func TestKeyIsWonAgainOnlyAfterRelease(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("a key has one holder at a time", prop.ForAll(func(seed uint64) string {
		rd := rand.New(rand.NewPCG(seed, 1))
		ta, now := &Table{}, int64(1_000_000_000)
		released := map[string]bool{}
		winners := map[string][]string{}
		for offset := range int64(300) {
			now += int64(rd.IntN(int(KeyLifetime.Milliseconds()) / 20))
			recordTime := now - int64(rd.IntN(60_000))
			key := Key("team", "ledger", keyAt(now-int64(rd.IntN(2*int(KeyLifetime.Milliseconds()))), 0))
			if rd.IntN(2) == 0 {
				key = Key("team", "ledger", keyAt(1_000_000_000, byte(rd.IntN(3))))
			}
			attempt := fmt.Sprint(offset)
			env := record.Envelope{Claim: &record.Claim{Key: key, Attempt: attempt, BodyHash: "hash"}}
			if ho := ta.Holder(key); ho != nil && rd.IntN(3) == 0 {
				env = record.Envelope{Release: &record.Release{Key: key, Attempt: ho.Claim.Attempt}}
				if ho.Done == nil {
					released[ho.Claim.Attempt] = true
				}
			} else if ho != nil && rd.IntN(3) == 0 {
				env = record.Envelope{Done: &record.Done{Key: key, Attempt: ho.Claim.Attempt}}
			}
			effect, ok := ta.Apply(encode(t, offset, recordTime, env))
			if !ok {
				return "the record at the next offset was not applied"
			}
			if effect.Won != nil {
				winners[key] = append(winners[key], attempt)
			}
		}
		for key, attempts := range winners {
			for _, attempt := range attempts[:len(attempts)-1] {
				if !released[attempt] {
					return "key " + key + " was won again before attempt " + attempt + " was released"
				}
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestKeyTimeAcceptsOnlyKeysWithTime(t *testing.T) {
	cases := []struct {
		name string
		key  string
		ok   bool
	}{
		{"UUID of version 7", keyAt(5_000, 1), true},
		{"expiry and name", "exp-4000-batch-7", true},
		{"UUID of version 4", uuid.New().String(), false},
		{"free text", "batch-7", false},
		{"expiry without a name", "exp-4000", false},
		{"empty", "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := KeyTime(tc.key); (err == nil) != tc.ok {
				t.Fatalf("KeyTime returned error %v, the opposite of what the case wants", err)
			}
		})
	}
}

func TestDecideFollowsStateOfKey(t *testing.T) {
	ta, millis := &Table{}, int64(10_000_000)
	key := Key("team", "ledger", keyAt(millis, 1))
	ca := Call{Key: key, KeyTime: millis, BodyHash: "hash"}
	if ve, _, err := ta.Decide(ca); ve != Append || err != nil {
		t.Fatalf("key without a claim: verdict %v, error %v", ve, err)
	}
	ta.Apply(encode(t, 0, millis, record.Envelope{Claim: &record.Claim{Key: key, Attempt: "one", BodyHash: "hash"}}))
	if ve, ho, err := ta.Decide(ca); ve != Resolve || ho.Claim.Attempt != "one" || err != nil {
		t.Fatalf("key with a claim and no answer: verdict %v, error %v", ve, err)
	}
	if _, _, err := ta.Decide(Call{Key: key, KeyTime: millis, BodyHash: "other"}); err == nil {
		t.Fatal("the same key with another body was not refused")
	}
	ta.Apply(encode(t, 1, millis, record.Envelope{Done: &record.Done{Key: key, Attempt: "one", Status: 201, Kept: true}}))
	if ve, ho, err := ta.Decide(ca); ve != Replay || ho.Done.Status != 201 || err != nil {
		t.Fatalf("key with an answer: verdict %v, error %v", ve, err)
	}
	ta.Apply(encode(t, 2, millis+KeyLifetime.Milliseconds()+1, record.Envelope{}))
	if _, _, err := ta.Decide(ca); err == nil {
		t.Fatal("an expired key was not refused")
	}
	if ta.Size() != 0 {
		t.Fatalf("%d keys are held after they expired", ta.Size())
	}
}

// TestDecideRefusesKeysFromBeforeFirstRecordOfTruncatedTable guards against running a call
// twice because its first claim was among the records that the log has deleted.
func TestDecideRefusesKeysFromBeforeFirstRecordOfTruncatedTable(t *testing.T) {
	millis := int64(100_000_000)
	ta := NewTable(50)
	earlier := Call{Key: Key("team", "ledger", keyAt(millis, 1)), KeyTime: millis}
	if _, _, err := ta.Decide(earlier); err == nil {
		t.Fatal("a truncated table without any record accepted a key")
	}
	ta.Apply(encode(t, 50, millis+1000, record.Envelope{}))
	if _, _, err := ta.Decide(earlier); err == nil {
		t.Fatal("a key from before the first record was not refused")
	}
	later := millis + 1000 + MaxClockSkew.Milliseconds() + 1
	if _, _, err := ta.Decide(Call{Key: Key("team", "ledger", keyAt(later, 2)), KeyTime: later}); err != nil {
		t.Fatalf("a key from after the first record was refused: %v", err)
	}
}
