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

// encode returns a record of the stream.
func encode(tb testing.TB, offset int64, ch *record.Change) record.Entry {
	tb.Helper()
	data, err := record.Encode(&record.Envelope{Change: ch})
	if err != nil {
		tb.Fatal(err)
	}
	return record.Entry{Offset: offset, Time: offset * 1000, Data: data}
}

// randomChange proposes an edit with a base that is often right.
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

// TestFoldFromSnapshotAgrees holds that a node that starts from any whole snapshot,
// beside half-written and interleaved ones, agrees with one that read every record.
func TestFoldFromSnapshotAgrees(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("same state by either way, revision never goes back", prop.ForAll(func(seed uint64) string {
		rd := rand.New(rand.NewPCG(seed, 1))
		st, entries, snapshots := State{}, []record.Entry{}, []record.Chunk{}
		for offset := range int64(60) {
			id := fmt.Sprint("change-", offset)
			if rd.IntN(6) == 0 {
				id = fmt.Sprint("change-", rd.IntN(int(offset)+1))
			}
			en := encode(t, offset, randomChange(rd, st, id))
			if rd.IntN(15) == 0 {
				en.Data = []byte{0xff, 0x00}
			}
			next, _, err := st.WithRecord(en)
			if err != nil || next.Revision() < st.Revision() {
				return "the fold went back or failed"
			}
			st = next
			entries = append(entries, en)
			if rd.IntN(8) == 0 {
				chunks, err := st.Chunks(fmt.Sprint("snapshot-", offset))
				if err != nil {
					return err.Error()
				}
				snapshots = append(snapshots, chunks[:rd.IntN(len(chunks)+1)]...)
				snapshots = append(snapshots, chunks...)
			}
		}
		rd.Shuffle(len(snapshots), func(aa, bb int) { snapshots[aa], snapshots[bb] = snapshots[bb], snapshots[aa] })
		as, other := Assembler{}, State{}
		for ix := range snapshots {
			if loaded, whole := as.WithChunk(&snapshots[ix]); whole && rd.IntN(3) == 0 {
				other = loaded
			}
		}
		for _, en := range entries[other.Next():] {
			var err error
			if other, _, err = other.WithRecord(en); err != nil {
				return err.Error()
			}
		}
		if !reflect.DeepEqual(st.Image(), other.Image()) {
			return "the states differ"
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestFoldOutcomes(t *testing.T) {
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
		{"first", &record.Change{ID: "1", Edits: edit("models/base", 0, `{}`)}, record.OutcomeKindAccepted},
		{"base moved", &record.Change{ID: "2", Edits: edit("models/base", 0, `{}`)}, record.OutcomeKindConflict},
		{"dangling model", &record.Change{ID: "3", Edits: edit("adapters/a", 0, `{"model":"none","versions":[1]}`)}, record.OutcomeKindInvalid},
		{"unknown key", &record.Change{ID: "4", Edits: edit("models/base", 1, `{"colour":1}`)}, record.OutcomeKindInvalid},
		{"unknown path", &record.Change{ID: "5", Edits: edit("rooms/a", 0, `{}`)}, record.OutcomeKindInvalid},
		{"empty", &record.Change{ID: "6"}, record.OutcomeKindInvalid},
		{"known id again", &record.Change{ID: "1", Edits: edit("models/other", 0, `{}`)}, record.OutcomeKindAccepted},
		{"on the right base", &record.Change{ID: "8", Edits: edit("models/base", 1, `{"description":"x"}`)}, record.OutcomeKindAccepted},
	}
	for ix, tc := range cases {
		if got := apply(int64(ix), tc.ch); got != tc.want {
			t.Fatalf("%s: %s instead of %s", tc.name, got, tc.want)
		}
	}
	if _, ok := st.Subtree("models/other"); ok {
		t.Fatal("a change with a known id was carried out again")
	}
	if _, _, err := st.WithRecord(encode(t, 99, &record.Change{ID: "gap"})); err == nil {
		t.Fatal("a gap was skipped")
	}
}

func FuzzFoldRecord(fu *testing.F) {
	fu.Add([]byte{0xa0})
	fu.Add(encode(fu, 0, &record.Change{ID: "1", Edits: []record.Edit{{Path: "models/a", Body: []byte(`{}`)}}}).Data)
	fu.Fuzz(func(t *testing.T, data []byte) {
		one, oc, err := State{}.WithRecord(record.Entry{Data: data})
		if err != nil || one.Next() != 1 {
			t.Fatalf("a record was not passed over: %v", err)
		}
		two, again, _ := State{}.WithRecord(record.Entry{Data: data})
		if !reflect.DeepEqual(one.Image(), two.Image()) || !reflect.DeepEqual(oc, again) {
			t.Fatal("two nodes folded the same record differently")
		}
	})
}
