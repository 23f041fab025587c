package fold

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/core/record"
)

// encode returns a record of the settings stream that contains the change.
func encode(tb testing.TB, offset int64, ch *record.Change) record.LogRecord {
	tb.Helper()
	data, err := record.Encode(&record.Envelope{Change: ch})
	if err != nil {
		tb.Fatal(err)
	}
	return record.LogRecord{Offset: offset, Time: offset * 1000, Data: data}
}

// randomChange returns a change that is often, but not always, valid and based on the current
// revision.
func randomChange(rd *rand.Rand, st State, id string) *record.Change {
	path := fmt.Sprint("models/m", rd.IntN(3))
	body := []byte(fmt.Sprintf(`{"description":%q}`, id))
	if rd.IntN(4) == 0 {
		path, body = "adapters/a", []byte(`{"model":"m1","versions":[1]}`)
	}
	if rd.IntN(5) == 0 {
		body = nil
	}
	if rd.IntN(10) == 0 {
		body = []byte(`{"unknown":1}`)
	}
	su, _ := st.Subtree(path)
	return &record.Change{ID: id, Author: "operator", Edits: []record.Edit{{Path: path, Base: su.Revision - int64(rd.IntN(3)/2), Body: body}}}
}

// TestStateFromSnapshotEqualsStateFromAllRecords checks that a node that starts from any
// snapshot has the same state as one that read every record. Each snapshot is one chunk, may be in
// the log twice, and the snapshots are in any order.
func TestStateFromSnapshotEqualsStateFromAllRecords(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the states are equal and the revision never decreases", prop.ForAll(func(seed uint64) string {
		rd := rand.New(rand.NewPCG(seed, 1))
		st, records, snapshotChunks := State{}, []record.LogRecord{}, []record.Chunk{}
		for offset := range int64(60) {
			id := fmt.Sprint("change-", offset)
			if rd.IntN(6) == 0 {
				id = fmt.Sprint("change-", rd.IntN(int(offset)+1))
			}
			lr := encode(t, offset, randomChange(rd, st, id))
			if rd.IntN(15) == 0 {
				lr.Data = []byte{0xff, 0x00}
			}
			next, _, err := st.WithRecord(lr)
			if err != nil || next.Revision() < st.Revision() {
				return "a record lowered the revision or was refused"
			}
			st = next
			records = append(records, lr)
			if rd.IntN(8) == 0 {
				chunks, err := st.Chunks(fmt.Sprint("snapshot-", offset))
				if err != nil {
					return err.Error()
				}
				snapshotChunks = append(snapshotChunks, chunks[:rd.IntN(len(chunks)+1)]...)
				snapshotChunks = append(snapshotChunks, chunks...)
			}
		}
		rd.Shuffle(len(snapshotChunks), func(aa, bb int) { snapshotChunks[aa], snapshotChunks[bb] = snapshotChunks[bb], snapshotChunks[aa] })
		as, restored := Assembler{}, State{}
		for ix := range snapshotChunks {
			if loaded, complete := as.AddChunk(&snapshotChunks[ix]); complete && rd.IntN(3) == 0 {
				restored = loaded
			}
		}
		for _, lr := range records[restored.Next():] {
			var err error
			if restored, _, err = restored.WithRecord(lr); err != nil {
				return err.Error()
			}
		}
		if !reflect.DeepEqual(st.Image(), restored.Image()) {
			return "the state from a snapshot differs from the state from all records"
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestWithRecordReturnsOutcomeOfChange(t *testing.T) {
	st := State{}
	apply := func(offset int64, ch *record.Change) record.OutcomeKind {
		t.Helper()
		next, oc, err := st.WithRecord(encode(t, offset, ch))
		if err != nil || oc == nil {
			t.Fatalf("offset %d: %v", offset, err)
		}
		st = next
		return oc.Kind
	}
	edit := func(path string, base int64, body string) []record.Edit {
		return []record.Edit{{Path: path, Base: base, Body: []byte(body)}}
	}
	cases := []struct {
		name string
		ch   *record.Change
		want record.OutcomeKind
	}{
		{"new path", &record.Change{ID: "1", Edits: edit("models/base", 0, `{}`)}, record.OutcomeKindAccepted},
		{"outdated base", &record.Change{ID: "2", Edits: edit("models/base", 0, `{}`)}, record.OutcomeKindConflict},
		{"adapter of an unknown model", &record.Change{ID: "3", Edits: edit("adapters/a", 0, `{"model":"none","versions":[1]}`)}, record.OutcomeKindInvalid},
		{"unknown key", &record.Change{ID: "4", Edits: edit("models/base", 1, `{"colour":1}`)}, record.OutcomeKindInvalid},
		{"unknown path", &record.Change{ID: "5", Edits: edit("rooms/a", 0, `{}`)}, record.OutcomeKindInvalid},
		{"no edits", &record.Change{ID: "6"}, record.OutcomeKindInvalid},
		{"known ID with other edits", &record.Change{ID: "1", Edits: edit("models/other", 0, `{}`)}, record.OutcomeKindAccepted},
		{"current base", &record.Change{ID: "8", Edits: edit("models/base", 1, `{"description":"x"}`)}, record.OutcomeKindAccepted},
	}
	for ix, tc := range cases {
		if got := apply(int64(ix), tc.ch); got != tc.want {
			t.Fatalf("%s: outcome %s, want %s", tc.name, got, tc.want)
		}
	}
	if _, ok := st.Subtree("models/other"); ok {
		t.Fatal("a change with a known ID was applied again")
	}
	if _, _, err := st.WithRecord(encode(t, 99, &record.Change{ID: "gap"})); err == nil {
		t.Fatal("a record after a gap was accepted")
	}
}

// FuzzWithRecordNeverFailsAndIsRepeatable checks that any data in a record is applied or ignored
// without an error, and always with the same result.
func FuzzWithRecordNeverFailsAndIsRepeatable(fu *testing.F) {
	fu.Add([]byte{0xa0})
	fu.Add(encode(fu, 0, &record.Change{ID: "1", Edits: []record.Edit{{Path: "models/a", Body: []byte(`{}`)}}}).Data)
	fu.Fuzz(func(t *testing.T, data []byte) {
		first, firstOutcome, err := State{}.WithRecord(record.LogRecord{Data: data})
		if err != nil || first.Next() != 1 {
			t.Fatalf("the state did not advance past the record: %v", err)
		}
		second, secondOutcome, _ := State{}.WithRecord(record.LogRecord{Data: data})
		if !reflect.DeepEqual(first.Image(), second.Image()) || !reflect.DeepEqual(firstOutcome, secondOutcome) {
			t.Fatal("the same record gave two different results")
		}
	})
}
