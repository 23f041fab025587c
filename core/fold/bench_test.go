package fold

import (
	"fmt"
	"testing"

	"github.com/bambooladder/bambooladder/core/record"
)

// BenchmarkChange measures the time to apply one change, and the size of a snapshot, for
// trees of several sizes.
func BenchmarkChange(b *testing.B) {
	for _, adapters := range []int{1_000, 3_000, 7_000, 14_000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			initial := &record.Change{ID: "first", Edits: []record.Edit{{Path: "models/base", Body: []byte(`{}`)}}}
			for ix := range adapters {
				initial.Edits = append(initial.Edits, record.Edit{Path: fmt.Sprint("adapters/adapter-", ix), Body: []byte(`{"model":"base","versions":[1,2]}`)})
			}
			st, _, err := State{}.WithRecord(encode(b, 0, initial))
			if err != nil || len(st.Paths()) != adapters+1 {
				b.Fatal(err)
			}
			data, err := record.Encode(&record.Envelope{Image: func() *record.Image { im := st.Image(); return &im }()})
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for ix := range b.N {
				su, _ := st.Subtree("adapters/adapter-1")
				if st, _, err = st.WithRecord(encode(b, st.Next(), &record.Change{
					ID: fmt.Sprint("change-", ix), Edits: []record.Edit{{Path: "adapters/adapter-1", Base: su.Revision, Body: su.Body}},
				})); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/float64(adapters), "snapshot-B/adapter")
		})
	}
}
